// Runs the fleet's leader over random histories with faults, and checks that
// afterwards no step waits for long while it fits twice over and less than half
// of the service is in use.
#include "support/fleet_fixture.hpp"
#include "support/model_workers.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr int worker_count = 12;
constexpr int workers_per_rack = 3;
constexpr const char* label = "fast";
constexpr milliseconds tick{50};

// Such a step must not wait this long.
constexpr milliseconds longest_wait{3000};

// All leases of the time with faults have expired after this time.
constexpr milliseconds contact_time{8000};

struct history_options
{
    order_faults faults;
    bool takeovers = false;
    bool disconnections = false;
    bool failing_workers = false;
};

std::string worker_name(unsigned index)
{
    return "w" + std::to_string(index);
}

bool has_label(unsigned index)
{
    return index % 2 == 0;
}

// The policy of the queue `restricted` allows these workers.
bool is_allowed(unsigned index)
{
    return index % 3 != 0;
}

class fleet_progress_model : public ::testing::TestWithParam<unsigned>
{
protected:
    fleet_progress_model()
        : random_(GetParam())
        , workers_(fixture_, GetParam() + 1000)
    {
        for (auto& queue : fixture_.document.queues)
        {
            queue.attempts = 100;
        }
        fixture_.scheduler->use_document(fixture_.document);
        for (unsigned i = 0; i < worker_count; ++i)
        {
            workers_.add(worker_name(i),
                         "r" + std::to_string(i / workers_per_rack),
                         has_label(i) ? label : "");
        }
    }

    void run_history(const history_options& options)
    {
        constexpr int fault_ticks = 400;
        constexpr int calm_ticks = 1000;
        const auto contact_ticks = static_cast<int>(contact_time / tick);
        workers_.faults = options.faults;
        for (int t = 0; t < fault_ticks + calm_ticks; ++t)
        {
            fixture_.advance(tick);
            const bool with_faults = t < fault_ticks;
            if (t == fault_ticks)
            {
                end_faults();
            }
            if (random_() % (with_faults ? 12 : 30) == 0)
            {
                submit();
            }
            if (with_faults)
            {
                disturb(options);
            }
            if (t % 20 == 0)
            {
                for (unsigned i = 0; i < worker_count; ++i)
                {
                    fixture_.report(worker_name(i));
                }
            }
            answer_policy();
            workers_.advance();
            fixture_.schedule();
            if (t >= fault_ticks + contact_ticks)
            {
                check_progress();
            }
        }
        for (const auto& violation : workers_.violations)
        {
            ADD_FAILURE() << violation;
        }
        EXPECT_GT(checks_in_half_empty_service_, 0);
        for (const auto& [id, worker] : fixture_.workers->workers())
        {
            EXPECT_NE(fixture_.workers->availability(worker, fixture_.now),
                      worker_availability::unreachable)
                << id;
        }
    }

private:
    void disturb(const history_options& options)
    {
        const auto worker = worker_name(random_() % worker_count);
        if (options.takeovers && random_() % 80 == 0)
        {
            fixture_.start_leader();
        }
        if (options.disconnections && random_() % 40 == 0)
        {
            workers_.set_disconnected(worker, random_() % 2 == 0);
        }
        if (options.failing_workers && random_() % 20 == 0)
        {
            workers_.set_failing(worker, random_() % 4 != 0);
        }
    }

    void end_faults()
    {
        workers_.faults = {};
        faults_ended_ = fixture_.now;
        for (unsigned i = 0; i < worker_count; ++i)
        {
            workers_.set_disconnected(worker_name(i), false);
            workers_.set_failing(worker_name(i), false);
        }
    }

    void answer_policy()
    {
        for (const auto& asked : std::exchange(fixture_.policy.questions, {}))
        {
            std::vector<policy_ticket> allowed;
            for (const auto& worker : asked.question.workers)
            {
                if (is_allowed(
                        static_cast<unsigned>(std::stoul(worker.substr(1)))))
                {
                    allowed.push_back({worker, "ticket"});
                }
            }
            asked.done(allowed);
        }
    }

    step_spec random_step()
    {
        static constexpr std::int64_t needs[] = {0, 1, 2, 4, 8};
        auto step = make_step(1 + random_() % 4, needs[random_() % 5],
                              random_() % 2 == 0);
        step.mutable_need()->set_memory_mb(
            random_() % 4 == 0
                ? 60000
                : 1000 * (1 + static_cast<std::int64_t>(random_() % 8)));
        step.set_estimate_ms(1000 +
                             static_cast<std::int64_t>(random_() % 4000));
        step.set_same_rack(random_() % 2 == 0);
        if (random_() % 3 == 0)
        {
            step.set_preferred_rack("r" + std::to_string(random_() % 4));
        }
        if (random_() % 4 == 0)
        {
            step.set_required_label(label);
        }
        step.set_max_per_worker(random_() % 4 == 0 ? 1 : 0);
        return step;
    }

    void submit()
    {
        static const char* const queues[] = {"urgent", "normal", "low",
                                             "restricted"};
        fleet_command command;
        auto& job = *command.mutable_accept();
        job.set_id("job" + std::to_string(jobs_++));
        job.set_queue(queues[random_() % 4]);
        job.set_account("account");
        job.set_service("service");
        *job.mutable_spec()->add_steps() = random_step();
        if (random_() % 3 == 0)
        {
            *job.mutable_spec()->add_steps() = random_step();
            job.mutable_spec()->mutable_steps(1)->add_after(0);
        }
        fixture_.apply(command);
    }

    // Returns the number of subtasks that the free capacity holds.
    std::uint32_t free_slots(const step_spec& step, bool restricted) const
    {
        std::uint32_t slots = 0;
        for (unsigned i = 0; i < worker_count; ++i)
        {
            if ((step.required_label().empty() || has_label(i)) &&
                (!restricted || is_allowed(i)))
            {
                const auto& session =
                    fixture_.workers->workers().at(worker_name(i));
                const auto limit = step.max_per_worker() > 0
                                       ? step.max_per_worker()
                                       : 2 * step.subtask_count();
                slots += count_within(session.capacity -
                                          workers_.used(worker_name(i)),
                                      counted_need(step), limit);
            }
        }
        return slots;
    }

    // Returns true when less than half of the service is in use; an accelerator
    // counts as 8 cores.
    bool half_empty() const
    {
        std::int64_t used = 0;
        std::int64_t total = 0;
        const auto cores = [](const resource_amounts& amounts)
        {
            return amounts.cpu_milli + 8000 * amounts.accelerators;
        };
        for (unsigned i = 0; i < worker_count; ++i)
        {
            used += cores(workers_.used(worker_name(i)));
            total +=
                cores(fixture_.workers->workers().at(worker_name(i)).capacity);
        }
        return 2 * used < total;
    }

    // Returns true when a step of the job is due and fits twice over, while no
    // run of the job is on a worker.
    bool could_start(const job_state& job) const
    {
        if (job.ended() || workers_.has_run_of(job.job.id()))
        {
            return false;
        }
        const auto at = job.occurrences.find(0);
        const auto is_step_done = [&](std::uint32_t step)
        {
            return job.ended_occurrences.contains(0) ||
                   (at != job.occurrences.end() &&
                    is_done(at->second.steps[step]));
        };
        const auto& steps = job.job.spec().steps();
        for (std::uint32_t s = 0; s < static_cast<std::uint32_t>(steps.size());
             ++s)
        {
            const auto& step = steps[static_cast<int>(s)];
            const auto wanted = step.gang() ? 2 * step.subtask_count() : 2;
            if (!is_step_done(s) &&
                std::all_of(step.after().begin(), step.after().end(),
                            is_step_done) &&
                free_slots(step, job.job.queue() == "restricted") >= wanted)
            {
                return true;
            }
        }
        return false;
    }

    void check_progress()
    {
        const bool in_time = half_empty();
        checks_in_half_empty_service_ += in_time ? 1 : 0;
        for (const auto& [id, job] : fixture_.state.jobs())
        {
            if (!in_time || !could_start(job))
            {
                waits_.erase(id);
                continue;
            }
            auto& waited = waits_[id];
            waited += tick;
            if (waited == longest_wait)
            {
                ADD_FAILURE()
                    << id << " waits although it fits twice over, "
                    << (fixture_.now - faults_ended_).count()
                    << " ms after the faults: " << job.job.ShortDebugString();
            }
        }
    }

    std::mt19937 random_;
    fleet_fixture fixture_;
    model_workers workers_;
    time_point faults_ended_;
    int jobs_ = 0;
    int checks_in_half_empty_service_ = 0;
    std::map<std::string, milliseconds> waits_; // By job.
};

// Guards against work that waits without need when nothing fails.
TEST_P(fleet_progress_model, no_faults)
{
    run_history({});
}

// Guards against work that waits for workers on which runs have failed.
TEST_P(fleet_progress_model, failing_workers)
{
    run_history({{}, false, false, true});
}

// Guards against work that a new leader takes to be at work or not ready.
TEST_P(fleet_progress_model, takeovers_with_lost_answers)
{
    run_history({{10, 10, 5}, true, false, true});
}

// Guards against work that waits for workers that were disconnected.
TEST_P(fleet_progress_model, disconnections_and_takeovers)
{
    run_history({{10, 10, 5}, true, true, true});
}

INSTANTIATE_TEST_SUITE_P(seeds, fleet_progress_model,
                         ::testing::Range(1U, 41U));

} // namespace
} // namespace limpetstack::fleet

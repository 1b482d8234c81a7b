// Runs the fleet's leader over random loads that fill the service, and checks
// how it is divided between queues that nearly always have work waiting.
#include "support/fleet_fixture.hpp"
#include "support/model_workers.hpp"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr unsigned seed_count = 20;
constexpr unsigned worker_count = 12;
constexpr unsigned workers_per_rack = 3;
constexpr std::int64_t all_accelerators = 96; // 8 on each worker.
constexpr milliseconds tick{50};
constexpr int warm_up_ticks = 200;
constexpr int history_ticks = 2200;
constexpr int window_ticks = 400; // Amounts are averaged over this time.

constexpr double least_served_ratio = 0.5; // To the queue below.

// While it has work waiting, `low` has one part in this number of the
// accelerators, less what urgent work uses.
constexpr int share_divisor = 6;

constexpr double late_multiple = 3; // Of the objective of a job.

// What the open jobs of a queue have and wait for, in accelerators.
struct queue_amounts
{
    std::int64_t given = 0;
    std::int64_t waiting = 0;
    unsigned waiting_jobs = 0;
};

// Sums over the ticks of a window.
struct window_sums
{
    int ticks = 0;
    std::map<std::string, queue_amounts> queues;
};

// Seed, whether there are faults, and the accelerators of the largest gang.
using history_options = std::tuple<unsigned, bool, std::int64_t>;

constexpr std::int64_t half_of_service = all_accelerators / 2;
// Beside such a gang there is room for the reserve for urgent work, a quarter,
// for the share of `low`, a sixth, and for a third in use by urgent work.
constexpr std::int64_t quarter_of_service = all_accelerators / 4;

struct history_results
{
    std::vector<window_sums> both_waiting; // `normal` and `low`, at each tick.
    std::vector<window_sums> low_waiting;
    std::set<std::string> late; // Gangs.
    std::vector<std::string> violations;
};

class shares_history
{
public:
    explicit shares_history(const history_options& options)
        : with_faults_(std::get<1>(options))
        , largest_gang_(std::get<2>(options))
        , random_(std::get<0>(options))
        , workers_(fixture_, std::get<0>(options) + 1000)
        , urgent_interval_(draw(10, 30))
        , gangs_waiting_(draw(1, 3))
        , low_steps_waiting_(draw(2, 4))
    {
        for (auto& queue : fixture_.document.queues)
        {
            queue.attempts = 100;
        }
        fixture_.scheduler->use_document(fixture_.document);
        workers_.reports_progress = true;
        for (unsigned i = 0; i < worker_count; ++i)
        {
            workers_.add(absl::StrCat("w", i),
                         absl::StrCat("r", i / workers_per_rack));
        }
    }

    history_results run()
    {
        for (int t = 0; t < history_ticks; ++t)
        {
            fixture_.advance(tick);
            submit_work();
            disturb();
            if (t % 20 == 0)
            {
                workers_.report_all();
            }
            workers_.advance();
            fixture_.schedule();
            measure(t >= warm_up_ticks);
        }
        results_.violations = workers_.violations;
        return results_;
    }

private:
    unsigned draw(unsigned least, unsigned most)
    {
        return least + static_cast<unsigned>(random_() % (most - least + 1));
    }

    void disturb()
    {
        if (with_faults_ && random_() % 400 == 0)
        {
            fixture_.start_leader();
        }
        if (with_faults_ && random_() % 100 == 0)
        {
            workers_.set_failing(failing_worker_, false);
            failing_worker_ = absl::StrCat("w", draw(0, worker_count - 1));
            workers_.set_failing(failing_worker_, random_() % 2 == 0);
        }
    }

    void submit(const std::string& queue, step_spec step)
    {
        step.set_estimate_ms(draw(2000, 5000));
        const auto id = absl::StrCat(queue, jobs_++);
        fixture_.submit(id, step, queue);
        open_.insert(id);
    }

    void submit_work()
    {
        static constexpr std::int64_t needs[] = {1, 2, 4, 8};
        if (random_() % urgent_interval_ == 0)
        {
            const auto count = draw(1, 4);
            const auto need = needs[draw(0, 1)];
            submit("urgent", make_step(count, need, random_() % 2 == 0));
        }
        if (now_["normal"].waiting_jobs < gangs_waiting_)
        {
            const auto need = needs[draw(0, 3)];
            const auto most = static_cast<unsigned>(largest_gang_ / need);
            submit("normal",
                   make_step(draw(1, std::min(6U, most)), need, true));
        }
        if (now_["low"].waiting_jobs < low_steps_waiting_)
        {
            submit("low", make_step(draw(5, 40), 1));
        }
    }

    // Adds what the first step of the job has and waits for.
    void measure_job(const job_state& job)
    {
        const auto& step = job.job.spec().steps(0);
        const auto need = step.need().accelerators();
        const auto at = job.occurrences.find(0);
        std::int64_t open =
            job.done_occurrences == 1 ? 0 : step.subtask_count();
        std::int64_t active = 0;
        if (at != job.occurrences.end() && open > 0)
        {
            const auto& placed = at->second.steps[0];
            auto at_work = placed.active;
            at_work.erase(placed.done);
            open -= placed.done.size();
            active = at_work.size();
        }
        auto& amounts = now_[job.job.queue()];
        amounts.given += need * active;
        amounts.waiting += need * (open - active);
        amounts.waiting_jobs += open > active ? 1 : 0;
        if (job.job.queue() == "normal")
        {
            measure_wait(job, open > active);
        }
    }

    void measure_wait(const job_state& job, bool waits)
    {
        auto& waited = waits_[job.job.id()];
        waited = waits ? waited + tick : milliseconds(0);
        const auto queue = fixture_.scheduler->queue_of(job);
        const auto objective =
            queue.stretch *
                static_cast<double>(job.job.spec().steps(0).estimate_ms()) +
            static_cast<double>(queue.allowance_ms);
        if (static_cast<double>(waited.count()) > late_multiple * objective)
        {
            results_.late.insert(job.job.ShortDebugString());
        }
    }

    void add_to(std::vector<window_sums>& windows, window_sums& sums)
    {
        for (const auto& [name, amounts] : now_)
        {
            sums.queues[name].given += amounts.given;
            sums.queues[name].waiting += amounts.waiting;
        }
        if (++sums.ticks == window_ticks)
        {
            windows.push_back(sums);
            sums = {};
        }
    }

    void measure(bool warm)
    {
        now_ = {{"urgent", {}}, {"normal", {}}, {"low", {}}};
        for (const auto& id : std::set<std::string>(open_))
        {
            const auto* const job = fixture_.state.find_job(id);
            if (job == nullptr || job->ended())
            {
                open_.erase(id);
            }
            else
            {
                measure_job(*job);
            }
        }
        if (warm && now_["low"].waiting > 0)
        {
            add_to(results_.low_waiting, low_sums_);
            if (now_["normal"].waiting > 0)
            {
                add_to(results_.both_waiting, both_sums_);
            }
        }
    }

    bool with_faults_;
    std::int64_t largest_gang_;
    std::mt19937 random_;
    fleet_fixture fixture_;
    model_workers workers_;
    unsigned urgent_interval_; // Mean number of ticks between urgent jobs.
    unsigned gangs_waiting_;   // Gangs of `normal` that wait at once.
    unsigned low_steps_waiting_;
    std::string failing_worker_ = "w0";
    int jobs_ = 0;
    std::set<std::string> open_; // Jobs that have not been seen to end.
    std::map<std::string, queue_amounts> now_;
    window_sums both_sums_;
    window_sums low_sums_;
    std::map<std::string, milliseconds> waits_; // By gang.
    history_results results_;
};

// The share of the asked accelerator time that was given: with bounded backlogs
// nearly all accepted jobs complete, however long they have waited.
double served(const window_sums& window, const std::string& queue)
{
    const auto& sums = window.queues.at(queue);
    const auto asked = static_cast<double>(sums.given + sums.waiting);
    return asked > 0 ? static_cast<double>(sums.given) / asked : 1;
}

std::string describe(const window_sums& window)
{
    std::string text = "mean accelerators given/waiting:";
    for (const auto& [name, sums] : window.queues)
    {
        text += absl::StrCat(" ", name, " ", sums.given / window.ticks, "/",
                             sums.waiting / window.ticks);
    }
    return text;
}

// Runs the history and checks the worker model's own rules.
history_results run_history(const history_options& options)
{
    auto results = shares_history(options).run();
    EXPECT_EQ(results.violations, std::vector<std::string>());
    EXPECT_FALSE(results.both_waiting.empty());
    return results;
}

void check_served(const history_results& results)
{
    for (const auto& window : results.both_waiting)
    {
        const auto normal = served(window, "normal");
        EXPECT_GE(served(window, "urgent"), least_served_ratio * normal);
        EXPECT_GE(normal, least_served_ratio * served(window, "low"))
            << describe(window);
    }
}

// Checks the share of `low` in all accelerators, less what urgent work uses,
// and in what urgent work leaves.
void check_share_of_low(const history_results& results)
{
    for (const auto& window : results.low_waiting)
    {
        const auto all = window.ticks * all_accelerators;
        const auto low = window.queues.at("low").given;
        const auto urgent = window.queues.at("urgent").given;
        EXPECT_GE(share_divisor * (low + urgent), all) << describe(window);
        EXPECT_GE(share_divisor * low, all - urgent) << describe(window);
    }
}

void check_gangs_in_time(const history_results& results)
{
    EXPECT_EQ(results.late, std::set<std::string>());
}

class fleet_shares_model : public ::testing::TestWithParam<unsigned>
{
protected:
    // Runs the histories of the seed without and with faults.
    static void run(const std::function<void(const history_results&)>& check)
    {
        for (const bool with_faults : {false, true})
        {
            SCOPED_TRACE(with_faults ? "with faults" : "without faults");
            check(run_history({GetParam(), with_faults, quarter_of_service}));
        }
    }
};

// Guards against gangs that are passed by single subtasks of the next queue.
TEST_P(fleet_shares_model, served_at_least_half_as_often_as_the_next_queue)
{
    run(check_served);
}

// Guards against reserves for gangs that leave nothing to the lowest queue.
TEST_P(fleet_shares_model, low_keeps_its_share)
{
    run(check_share_of_low);
}

// Guards against gangs for which workers never become free together.
TEST_P(fleet_shares_model, gangs_start_before_they_are_late)
{
    run(check_gangs_in_time);
}

INSTANTIATE_TEST_SUITE_P(seeds, fleet_shares_model,
                         ::testing::Range(1U, seed_count + 1));

// The same with gangs of up to half of the service, over all seeds.
class wide_gangs_model : public ::testing::Test
{
protected:
    static void run(const std::function<void(const history_results&)>& check)
    {
        for (unsigned seed = 1; seed <= seed_count; ++seed)
        {
            for (const bool with_faults : {false, true})
            {
                SCOPED_TRACE(absl::StrCat("seed ", seed, " faults ",
                                          with_faults ? "yes" : "no"));
                check(run_history({seed, with_faults, half_of_service}));
            }
        }
    }
};

// Guards against wide gangs that are passed by single subtasks of the next
// queue.
TEST_F(wide_gangs_model, served_at_least_half_as_often_as_the_next_queue)
{
    run(check_served);
}

// Guards against reserves for wide gangs that leave nothing to the lowest
// queue.
TEST_F(wide_gangs_model, low_keeps_its_share)
{
    run(check_share_of_low);
}

// Guards against wide gangs for which workers never become free together.
TEST_F(wide_gangs_model, gangs_start_before_they_are_late)
{
    run(check_gangs_in_time);
}

} // namespace
} // namespace limpetstack::fleet

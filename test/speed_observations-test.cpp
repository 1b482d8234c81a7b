// Checks that the leader learns the speed of workers from their lists, and
// places gangs by it.
#include "support/fleet_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr std::uint32_t gang_size = 5;
constexpr double slow = 0.6;
constexpr double middle = 1.0;
constexpr double fast = 1.6;

// Workers that advance at their own speed and answer a hold at its time limit
// or when a run has ended. Gangs begin when all members have started, and end
// when all are done.
class simulated_workers
{
public:
    explicit simulated_workers(fleet_fixture& leader)
        : fixture_(leader)
    {
    }

    void add(const std::string& id, double speed)
    {
        speeds_[id] = speed;
        add_ready_worker(fixture_, id, "rack");
    }

    // Submits a gang of the given run time at speed 1.
    void submit_gang(double time_ms, const std::string& queue)
    {
        const auto job = "gang" + std::to_string(jobs_++);
        auto step = make_step(gang_size, 8, true);
        step.set_estimate_ms(static_cast<std::int64_t>(time_ms));
        times_[job] = time_ms;
        fixture_.submit(job, step, queue);
    }

    // Submits single subtasks.
    void submit_singles(std::uint32_t count, double time_ms)
    {
        const auto job = "single" + std::to_string(jobs_++);
        auto step = make_step(count, 8);
        step.set_estimate_ms(static_cast<std::int64_t>(time_ms));
        times_[job] = time_ms;
        fixture_.submit(job, step, "low");
    }

    // Lets 50 ms pass.
    void step()
    {
        fixture_.advance(milliseconds(50));
        for (const auto& [id, speed] : speeds_)
        {
            fixture_.report(id);
        }
        fixture_.schedule();
        start_runs();
        end_runs();
        answer_holds();
        fixture_.commit();
    }

    void pass(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(50))
        {
            step();
        }
    }

    double speed_of(const std::string& worker) const
    {
        return speeds_.at(worker);
    }

    // Speeds of the workers of each job, in the order of the starts.
    std::map<std::string, std::vector<double>> placed;

private:
    struct run
    {
        run_ref ref;
        std::string worker;
        double time_ms = 0;
        time_point began_at;
        bool began = false;
        bool ended = false;
    };
    struct hold
    {
        time_point due;
        fake_worker_port::sent_hold call;
    };

    void start_runs()
    {
        while (!fixture_.port.starts.empty())
        {
            const auto start = fixture_.port.starts.front();
            fixture_.port.starts.pop_front();
            const auto& ref = start.order.run;
            const bool tail = std::bernoulli_distribution(0.03)(random_);
            std::normal_distribution<double> noise(0, 0.15);
            const auto time = times_.at(ref.job()) * std::exp(noise(random_)) *
                              (tail ? 7 : 1) / speeds_.at(start.order.worker);
            runs_.push_back(
                {ref, start.order.worker, time, fixture_.now, false, false});
            placed[ref.job()].push_back(speeds_.at(start.order.worker));
            start.done({order_result::accepted, fixture_.worker_clock()});
        }
    }
    bool is_gang(const run& item) const
    {
        return item.ref.job().compare(0, 4, "gang") == 0;
    }
    void end_runs()
    {
        std::map<std::string, std::pair<std::uint32_t, std::uint32_t>> gangs;
        for (auto& item : runs_)
        {
            auto& [present, done] = gangs[item.ref.job()];
            ++present;
            done += item.began && percent_of(item) >= 100;
        }
        for (auto& item : runs_)
        {
            const auto [present, done] = gangs[item.ref.job()];
            if (!item.began && (!is_gang(item) || present == gang_size))
            {
                item.began = true;
                item.began_at = fixture_.now;
            }
            item.ended = is_gang(item) ? done == gang_size
                                       : item.began && percent_of(item) >= 100;
        }
    }
    int percent_of(const run& item) const
    {
        const auto passed =
            static_cast<double>((fixture_.now - item.began_at).count());
        return item.began ? static_cast<int>(
                                std::min(100.0, 100 * passed / item.time_ms))
                          : 0;
    }
    void answer_holds()
    {
        while (!fixture_.port.holds.empty())
        {
            const auto& call = fixture_.port.holds.front();
            holds_.push_back(
                {fixture_.now + milliseconds(call.order.wait_limit_ms), call});
            fixture_.port.holds.pop_front();
        }
        auto waiting = std::move(holds_);
        holds_.clear();
        for (auto& item : waiting)
        {
            const auto& worker = item.call.order.worker;
            const bool has_end =
                std::any_of(runs_.begin(), runs_.end(),
                            [&](const run& other)
                            {
                                return other.worker == worker && other.ended;
                            });
            if (!has_end && fixture_.now < item.due)
            {
                holds_.push_back(std::move(item));
                continue;
            }
            hold_answer answer;
            answer.result = order_result::accepted;
            answer.lists.worker_time_ms = fixture_.worker_clock();
            for (const auto& other : runs_)
            {
                if (other.worker == worker && other.ended)
                {
                    answer.lists.ended.push_back(
                        {++ends_[worker], other.ref, run_done, ""});
                }
                else if (other.worker == worker)
                {
                    answer.lists.running.push_back(
                        {other.ref, "", percent_of(other)});
                }
            }
            runs_.erase(std::remove_if(runs_.begin(), runs_.end(),
                                       [&](const run& other)
                                       {
                                           return other.worker == worker &&
                                                  other.ended;
                                       }),
                        runs_.end());
            item.call.done(answer);
        }
    }

    fleet_fixture& fixture_;
    std::mt19937 random_{5};
    std::map<std::string, double> speeds_;
    std::map<std::string, double> times_; // By job.
    std::map<std::string, std::uint64_t> ends_;
    std::vector<run> runs_;
    std::vector<hold> holds_;
    int jobs_ = 0;
};

class speed_observations : public ::testing::Test
{
protected:
    // Adds workers of the speeds in turn.
    void add_workers(int count, const std::vector<double>& speeds)
    {
        for (int i = 0; i < count; ++i)
        {
            workers.add("w" + std::to_string(100 + i),
                        speeds[static_cast<std::size_t>(i) % speeds.size()]);
        }
    }
    // Submits an urgent gang and some single subtasks every 500 ms.
    void run_load(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(500))
        {
            workers.submit_gang(2100, "urgent");
            workers.submit_singles(4, 1500);
            workers.pass(milliseconds(500));
        }
    }
    std::size_t class_count()
    {
        return fixture.workers
            ->refreshed_speed_classes(fixture.now + milliseconds(2000))
            .count();
    }

    fleet_fixture fixture;
    simulated_workers workers{fixture};
};

// Guards against urgent gangs whose slowest member sets their pace although
// enough fast workers are free, for longer than the leader needs to learn.
TEST_F(speed_observations, urgent_gangs_run_on_fast_workers)
{
    add_workers(90, {slow, middle, fast});
    run_load(milliseconds(30000));
    EXPECT_EQ(class_count(), 3U);
    EXPECT_NE(
        fixture.counters.text().find("limpetstack_worker_speed_classes 3\n"),
        std::string::npos);
    workers.placed.clear();
    run_load(milliseconds(30000));
    std::size_t gangs = 0;
    std::size_t without_slow = 0;
    std::size_t all_fast = 0;
    for (const auto& [job, speeds] : workers.placed)
    {
        if (job.compare(0, 4, "gang") == 0)
        {
            const auto slowest =
                *std::min_element(speeds.begin(), speeds.end());
            ++gangs;
            without_slow += slowest > slow ? 1 : 0;
            all_fast += slowest == fast ? 1 : 0;
        }
    }
    EXPECT_EQ(gangs, 60U);
    EXPECT_GE(without_slow, gangs * 9 / 10);
    EXPECT_GE(all_fast, gangs * 6 / 10);
}

// Guards against classes in a fleet of one speed, whose subtasks differ and
// have a tail.
TEST_F(speed_observations, fleet_of_one_speed_stays_one_class)
{
    add_workers(90, {middle});
    for (int i = 0; i < 60; ++i)
    {
        run_load(milliseconds(1000));
        ASSERT_EQ(class_count(), 1U);
    }
    EXPECT_NE(fixture.counters.text().find("speed_observations_total"),
              std::string::npos);
}

// Guards against an estimate that outlives the incarnation of its worker, or
// the leader that knows when the runs began.
TEST_F(speed_observations, new_incarnation_and_new_leader_begin_without_any)
{
    add_workers(30, {slow, middle, fast});
    run_load(milliseconds(10000));
    const auto count_of = [this](const std::string& worker)
    {
        return fixture.workers->workers().at(worker).speed.count;
    };
    ASSERT_GT(count_of("w100"), 0);
    fixture.add_worker("w100", "rack", 2);
    EXPECT_EQ(count_of("w100"), 0);
    fixture.start_leader();
    EXPECT_EQ(class_count(), 1U);
    EXPECT_EQ(count_of("w101"), 0);
}

} // namespace
} // namespace limpetstack::fleet

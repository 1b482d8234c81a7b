#pragma once

#include "support/fleet_fixture.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// Probabilities of the faults of a pace order, in percent.
struct pace_faults
{
    unsigned lost_answer = 0; // It is carried out, without an answer.
    unsigned late = 0; // It is carried out 2 to 8 s later, without an answer.
};

/// Simulates workers on which fillers and subtasks that serve users disturb
/// each other. It judges the tails of the serving subtasks by what the workers
/// do, not by what they list.
class shared_workers
{
public:
    shared_workers(fleet_fixture& fixture, unsigned seed);

    void add(const std::string& id);

    /// Sets by how much a filler of the job raises the tail at full pace, as a
    /// share of the target. It varies by `variation` of that within seconds.
    void set_disturbance(const std::string& job, double share,
                         double variation = 0);

    /// Sets the tail of each serving subtask without fillers, as a share of its
    /// target.
    void set_own_load(double share) { own_load_ = share; }

    /// Advances the time, carries out orders and runs the leader's rounds.
    void advance(milliseconds time);

    /// Starts a new leader. Open orders of the earlier one get no answer.
    void change_leader();

    /// Returns the mean share at which the fillers on workers with serving
    /// subtasks have worked since the last call.
    double take_filler_share();

    /// Returns how many runs of the job are at work.
    std::size_t running(const std::string& job) const;

    pace_faults faults;
    bool supports_pace = true;
    bool lists_figures = true;
    std::vector<std::string> violations; // Serving subtasks that were harmed.
    std::size_t pace_orders = 0;
    std::map<std::string, int> starts_of; // By job.

private:
    struct worker_run
    {
        run_ref ref;
        bool filler = false;
        bool lasting = false;
        double target_ms = 0; // Of the tail latency.
        int percent = 100;
        double work_ms = 0;
        double work_left_ms = 0;
        time_point stops_at;
        bool stopping = false;
        std::deque<double> tails; // Of the last half second.
        milliseconds harmed_for{0};
        bool reported = false; // A violation was recorded.
    };
    struct worker
    {
        std::map<std::string, worker_run> runs; // By key.
        std::vector<listed_end> ended;
        std::uint64_t next_end = 1;
        std::uint64_t epoch = 0;
    };
    struct disturbance
    {
        double share = 0;
        double variation = 0;
    };
    struct delayed_action
    {
        time_point at;
        std::function<void()> run;
    };

    bool chance(unsigned percent) { return random_() % 100 < percent; }
    void later(milliseconds delay, std::function<void()> run);
    void run_due();
    void take_orders();
    void take_start(const fake_worker_port::sent_start& item);
    void take_stop(const fake_worker_port::sent_stop& item);
    void take_pace(const fake_worker_port::sent_pace& item);
    void set_percent(const pace_order& order);
    void take_hold(const fake_worker_port::sent_hold& item);
    hold_answer lists_of(worker& from);
    double disturbance_of(const worker_run& run) const;
    void work(const std::string& id, worker& at);
    void judge(const std::string& id, worker_run& run, double fillers);
    static void finish(worker& at, const std::string& key, run_end end);
    order_answer answered(order_result result) const;

    fleet_fixture& fixture_;
    std::mt19937 random_;
    std::map<std::string, worker> workers_;
    std::map<std::string, disturbance> disturbances_; // By job.
    std::vector<delayed_action> delayed_;
    double own_load_ = 0.3;
    double filler_work_ms_ = 0;
    double filler_time_ms_ = 0;
    time_point next_report_;
    time_point next_round_;
};

} // namespace limpetstack::fleet

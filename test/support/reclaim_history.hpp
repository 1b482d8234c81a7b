#pragma once

#include "support/fleet_fixture.hpp"
#include "support/model_workers.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// Options of a random history of urgent jobs on a full service.
struct reclaim_options
{
    int workers = 60;
    int workers_in_rack = 12;
    int accounts = 6;
    milliseconds stop_time{300};
    unsigned failed = 5;                   // Runs that fail, in percent.
    std::int64_t lasting_accelerators = 0; // Of runs that are never stopped.
    bool change_guarantees = false;
    std::vector<std::int64_t> needs{1, 2, 4, 8, 8}; // Of urgent subtasks.
    bool one_need_by_account = false; // Each account's subtasks are alike.
    double flood_share = 0.5;         // Accounts that submit above guarantee.
    std::int64_t estimate_ms = 2500;  // Of urgent subtasks.
    // Urgent jobs come in waves of this length, each after a pause of the same
    // length; 0: all the time.
    milliseconds wave{0};
};

/// An urgent job that did not start in time inside its account's guarantee.
struct late_job
{
    std::string job;
    std::string cause;   // The class of the cause.
    std::string details; // The state of the workers at the time limit.
};

/// Runs urgent jobs of several accounts on a service that is full of less
/// urgent work. Some accounts keep their open jobs just inside their guarantee,
/// others submit more; the roles change with time. All guarantees together are
/// 62% of the accelerators.
class reclaim_history
{
public:
    reclaim_history(unsigned seed, const reclaim_options& options);

    /// Advances the history.
    void run(milliseconds duration);

    fleet_fixture fixture;
    model_workers workers;
    std::vector<late_job> late_jobs;
    std::size_t jobs_in_time = 0;

private:
    struct account_state
    {
        std::string name;
        std::int64_t need = 0; // Of each subtask; 0: any.
        bool floods = false;
        time_point next_change;
    };
    struct open_job
    {
        std::string account;
        std::int64_t need = 0; // Accelerators of all subtasks.
        std::uint32_t subtasks = 0;
        time_point accepted;
        bool judged = false;
        bool was_above = false; // Its account was above its guarantee.
    };

    step_spec random_urgent_step(std::int64_t accelerators);
    void submit_urgent(account_state& account);
    void submit_lower();
    void set_guarantees();
    void judge_jobs();
    std::map<std::string, std::int64_t> open_need() const;
    std::int64_t guarantee_of(const std::string& account) const;
    late_job describe(const std::string& id, const open_job& job) const;

    const reclaim_options options_;
    std::mt19937 random_;
    std::vector<account_state> accounts_;
    std::map<std::string, open_job> open_; // Urgent jobs by id.
    std::uint64_t ticks_ = 0;
    int jobs_ = 0;
};

} // namespace limpetstack::fleet

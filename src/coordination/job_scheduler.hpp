#pragma once

#include "base/clock.hpp"
#include "coordination/guarantee_plan.hpp"
#include "coordination/job_queue.hpp"
#include "coordination/run_time_estimator.hpp"
#include "limpetstack/placement.hpp"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetstack
{

/// Policies that can be switched off for comparison.
struct scheduling_policy
{
    bool best_fit = true;    // Else the first rack that fits.
    bool reserve = true;     // Hold racks for a large gang that waits.
    bool backfill = true;    // Short jobs may use racks that are held.
    bool learn_times = true; // Else declared run times are trusted.
    bool reclaim = true;     // Stop borrowing gangs for guaranteed ones.
};

/// A gang to start. The caller stops the victims first and reports their end;
/// a decision with victims is followed by one without for the same job.
struct start_decision
{
    std::string id;
    gang_placement placement;
    std::vector<std::string> victims;
    bool guaranteed = false;
};

/// Decides which jobs of one data centre start where. Holds what runs and
/// what waits; performs no I/O.
class job_scheduler
{
public:
    explicit job_scheduler(std::string data_centre,
                           scheduling_policy policy = {});

    /// Takes the accounts, guarantees and fleet of the configuration.
    void configure(const document& source);

    void put_worker(const worker_capacity& worker);
    void remove_worker(const std::string& id);

    /// A disabled worker gets no new members. When it is to be back soon, it
    /// still counts as room for guarantees.
    void enable_worker(const std::string& id, bool enabled, bool counts);

    /// While the data centre is evacuated, nothing starts and nothing is
    /// stopped for other work. What runs goes on, and jobs wait.
    void set_evacuated(bool evacuated);

    /// Returns why the job can never run, or an empty string.
    std::string refusal(const gang_shape& shape) const;

    /// Adds a job that waits; in front of its account's others when it ran
    /// before.
    void submit(queued_job job, bool front);

    /// Takes a job that runs already.
    void adopt(const queued_job& job, const gang_placement& placement,
               time_point now);

    /// Returns the gangs to start now, at most `limit` (above 0).
    std::vector<start_decision> decide(time_point now, std::size_t limit);

    /// Removes a job that waits, or that was decided but still waits for its
    /// victims. Returns false when there is none.
    bool cancel(const std::string& id);

    /// Frees the resources of a gang that has certainly stopped. `ran` is its
    /// run time if it ran to its end.
    void finished(const std::string& id, std::optional<milliseconds> ran);

    /// Records that the gang's progress was saved.
    void saved(const std::string& id, time_point now);

    /// Takes over what another scheduler learned about run times.
    void keep_experience(const job_scheduler& other) { times_ = other.times_; }

    /// Returns true when the job is queued or placed.
    bool knows(const std::string& id) const;

    std::size_t queue_length() const { return queue_.size(); }
    bool guaranteed(const std::string& id) const { return plan_.holds(id); }
    const worker_index& workers() const { return all_; }

private:
    struct placed_job
    {
        queued_job job;
        gang_placement placement;
        double share = 0;
        bool guaranteed = false;
        bool stopping = false; // Chosen as a victim.
        time_point start{};
        milliseconds expected{0}; // Run time.
    };

    struct reservation
    {
        std::string id;
        std::vector<std::string> racks;
        time_point start{}; // Expected.
        time_point made{};
    };

    const resources& fleet();
    standings current_standings() const;
    /// A way to run a job inside a guarantee.
    struct guaranteed_choice
    {
        std::size_t gang = 0;
        reclaim_choice place;
    };

    std::optional<guaranteed_choice> guaranteed_place(const queued_job& job,
                                                      time_point now);
    std::optional<reclaim_choice> place_inside(std::size_t gang,
                                               const gang_shape& job,
                                               const reclaim_view& view,
                                               bool reclaim);
    std::optional<reclaim_choice> place_at_home(std::size_t gang,
                                                const gang_shape& job,
                                                const reclaim_view& view) const;
    bool start_guaranteed(const queued_job& job, time_point now,
                          std::vector<start_decision>& result);
    bool start_borrowed(const queued_job& job, time_point now,
                        std::vector<start_decision>& result);
    void place(const queued_job& job, const gang_placement& placement,
               bool guaranteed, time_point now);
    void release_waiting(std::vector<start_decision>& result);
    void promote(const std::string& account);
    void promote_pending();
    milliseconds expected_time(const queued_job& job) const;

    void reserve(const queued_job& job, time_point now);
    void cancel_reservation();
    time_point free_at(const std::string& rack, const gang_shape& shape,
                       time_point now) const;

    std::string data_centre_;
    scheduling_policy policy_;
    document config_;
    double total_weight_ = 0;
    std::optional<resources> fleet_; // Sum of the live workers, when known.
    worker_index declared_;
    worker_index capacity_; // Live workers, nothing taken.
    worker_index all_;
    guarantee_plan plan_;
    borrowing_table borrowing_;
    job_queue queue_;
    run_time_estimator times_;
    std::unordered_map<std::string, placed_job> placed_;
    std::map<std::string, double> used_; // By account, fraction of the fleet.
    std::set<std::string> waiting_;      // Decided, but victims still run.
    std::map<std::string, std::set<std::string>> borrowing_of_; // By account.
    std::set<std::string> promotions_; // Accounts with members to claim.
    std::optional<reservation> reservation_;
    bool evacuated_ = false;
    bool changed_ = true; // Since the last walk over the queue.
};

} // namespace limpetstack

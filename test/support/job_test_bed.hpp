#pragma once

#include "base/manual_timer_service.hpp"
#include "coordination/owned_journal.hpp"
#include "coordination/worker_control.hpp"
#include "limpetstack/document.hpp"
#include "peer.pb.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::test
{

/// Job records that outlive their owners.
struct job_store
{
    std::uint64_t epoch = 1;
    std::map<std::string, wire::job_record> jobs;
};

/// One owner's view of a job_store.
class fake_journal : public owned_journal
{
public:
    fake_journal(job_store& store, std::uint64_t epoch)
        : store_(store)
        , epoch_(epoch)
    {
    }

    bool owned() const override { return claims_ownership; }
    std::uint64_t epoch() const override { return epoch_; }
    std::uint64_t incarnation() const override { return 1; }
    wire::transition_response
    transition(const wire::request_record& record) override;
    absl::Status write_job(const wire::job_record& record) override;
    std::vector<wire::job_record> jobs() const override;
    std::optional<wire::job_record> job(const std::string& id) const override;

    void set_epoch(std::uint64_t epoch);

    bool claims_ownership = true; // An isolated owner does not know better.
    int failing_writes = 0;       // The next writes fail.

private:
    job_store& store_;
    std::uint64_t epoch_;
};

/// A time during which a worker ran a member.
struct run_interval
{
    std::string job;
    std::uint32_t attempt = 0;
    std::uint32_t member = 0;
    std::string worker;
    time_point start{};
    time_point end{};
    std::string how; // done, failed, stopped, lapsed, crashed
};

/// Workers on the manual clock that lose and delay messages, freeze, crash,
/// refuse and fail.
class fake_fleet : public worker_control
{
public:
    fake_fleet(manual_timer_service& timers, std::uint64_t seed)
        : timers_(timers)
        , random_(seed)
    {
    }

    void add_racks(int racks, int workers_per_rack, std::uint32_t accelerators);

    absl::StatusOr<std::vector<task_status>>
    call(worker_action action, const std::string& address,
         const worker_request& request, milliseconds timeout) override;

    std::vector<wire::worker_entry> live() const;
    std::vector<std::string> ids() const;

    /// Ends what ends by itself until now.
    void settle();

    void crash(const std::string& worker);

    /// Returns all intervals; those that still run end now.
    std::vector<run_interval> history();

    /// Returns the members that run now, by job.
    std::map<std::string, int> running();

    double lost_requests = 0; // Fractions of calls.
    double lost_answers = 0;
    double late_requests = 0; // Handled after the caller has given up.
    milliseconds delay{500};
    std::set<std::string> frozen; // Tasks run on, calls time out.
    std::set<std::string> refusing;
    std::set<std::string> failing; // Fail every task that starts.
    std::set<std::string> failing_jobs;
    std::map<std::string, milliseconds> run_times; // By job.
    milliseconds run_time{5000};
    int calls = 0;

private:
    struct task
    {
        std::uint32_t attempt = 0;
        std::string state;
        task_order order;
        time_point lease_end{};
        time_point start{};
        double progress = 0;
    };

    struct worker
    {
        wire::worker_entry entry;
        std::uint64_t epoch = 0;
        std::map<std::pair<std::string, std::uint32_t>, task> tasks;
    };

    struct late_request
    {
        worker_action action;
        std::string worker;
        worker_request request;
    };

    bool chance(double probability);
    absl::StatusOr<std::vector<task_status>>
    handle(worker& w, worker_action action, const worker_request& request,
           time_point now);
    std::string refusal(const worker& w, worker_action action,
                        const worker_request& request) const;
    void apply(worker& w, worker_action action, const task_order& order,
               milliseconds lease, time_point now);
    void expire(worker& w, time_point now);
    void end(const worker& w, task& t, const std::string& how, time_point at);
    milliseconds run_time_of(const std::string& job) const;
    double progress_of(const task& t, time_point now) const;

    manual_timer_service& timers_;
    std::mt19937_64 random_;
    std::map<std::string, worker> workers_;
    std::multimap<time_point, late_request> late_;
    std::vector<run_interval> history_;
};

/// One owner's way to the fleet; it can be cut off from some workers.
class fleet_view : public worker_control
{
public:
    explicit fleet_view(fake_fleet& fleet)
        : fleet_(fleet)
    {
    }

    absl::StatusOr<std::vector<task_status>> call(worker_action action,
                                                  const std::string& address,
                                                  const worker_request& request,
                                                  milliseconds timeout) override
    {
        return cut_off.count(address) > 0
                   ? absl::DeadlineExceededError("cut off")
                   : fleet_.call(action, address, request, timeout);
    }

    std::set<std::string> cut_off;

private:
    fake_fleet& fleet_;
};

/// A document with one data centre `dc1` of the fleet's shape and the accounts
/// `a` (weight 1, the guarantee given) and `b` (weight 1, none), both with the
/// service `s`.
document two_accounts(int racks, int workers_per_rack,
                      std::uint32_t accelerators,
                      std::vector<guaranteed_shape> guarantees);

/// Returns a submission of a job of account and service `s` in `dc1`.
wire::job_submission submission(const std::string& account, int number,
                                std::uint32_t members,
                                std::uint32_t accelerators,
                                const std::string& adjacency = "any");

/// Returns what is wrong with a history, or an empty string: members of an
/// attempt must all run or stop within `bound` of the first that did not run,
/// and two attempts must never overlap.
std::string gang_violation(const std::vector<run_interval>& history,
                           const std::map<std::string, std::uint32_t>& members,
                           milliseconds bound);

} // namespace limpetstack::test

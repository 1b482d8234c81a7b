#pragma once

#include "base/metrics.hpp"
#include "base/timer_service.hpp"
#include "coordination/gang.hpp"
#include "coordination/gang_coordinator.hpp"
#include "coordination/job_scheduler.hpp"
#include "coordination/owned_journal.hpp"
#include "coordination/worker_calls.hpp"
#include "coordination/worker_quarantine.hpp"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace limpetstack
{

/// State and operations of the gang coordinator. Calls to workers and writes
/// to the journal are made without the lock. An operation remembers the epoch
/// under which it began; when ownership has changed since, its outcome is
/// dropped, since the jobs have been taken over from the journal again.
class gang_coordinator::implementation
{
public:
    implementation(std::string data_centre, owned_journal& journal,
                   worker_control& control, worker_source workers,
                   document_source config, timer_service& timers,
                   metrics& counters, gang_timing timing,
                   evacuation_source evacuated);
    ~implementation();

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    void start();
    void stop();
    wire::job_answer submit(const wire::job_submission& request);
    wire::job_list list(const wire::job_query& query) const;
    wire::job_answer cancel(const wire::job_cancel& request);

private:
    struct worker_place
    {
        std::string address;
        std::string rack;
    };

    using lock = std::unique_lock<std::mutex>;

    /// One uninterrupted ownership under one epoch.
    struct tenure
    {
        std::uint64_t epoch = 0; // 0: not the owner.
        std::uint64_t generation = 0;
    };

    // gang_coordinator.cpp
    std::string refusal(const wire::job_submission& request) const;
    bool owner_now() const;
    bool evacuated() const { return evacuated_ && evacuated_(); }
    void with_progress(wire::job_record& job) const;
    wire::job_answer cancel_waiting(wire::job_record job);
    wire::job_answer cancel_gang(const std::string& id);
    std::mutex& write_lock(const std::string& id);

    // gang_takeover.cpp
    bool follow_ownership(tenure& t);
    void lose_ownership(const lock& held);
    void take_over(std::uint64_t epoch);
    void load_jobs(const lock& held);
    void load_gang(const wire::job_record& job, const lock& held);
    void adopt_gangs(const tenure& t);
    void ask_members(const tenure& t);
    void refresh_workers(const std::vector<wire::worker_entry>& live,
                         const lock& held);

    // gang_start.cpp
    void schedule();
    std::vector<start_decision> decide(const lock& held);
    gang new_gang(wire::job_record job, const gang_placement& placement) const;
    void run_decision(const start_decision& decision, const tenure& t);
    void stop_victims(const std::vector<std::string>& victims, const tenure& t);
    void start_gang(const std::string& id, const tenure& t);
    std::string reserve_all(const gang& g, const tenure& t);
    std::string commit_all(const gang& g, const tenure& t);
    bool write_start(const std::string& id, const std::string& state,
                     const tenure& t);
    void abandon_start(const std::string& id, const std::string& reason,
                       const tenure& t);
    void note_start(const std::string& worker, const std::string& job,
                    bool failed, const lock& held);

    // gang_renewal.cpp
    enum class wave
    {
        ask,    // Is every member running? Extends no lease.
        again,  // Asks members that have not answered, or were not asked.
        confirm // Renews gangs whose members have all answered.
    };
    void renew();
    void renew_wave(const tenure& t, wave kind, time_point began);
    bool in_wave(const gang& g, wave kind, time_point began) const;
    void take_answers(worker_action action,
                      const std::vector<worker_call>& calls, const lock& held);
    void take_answer(worker_action action, gang& g, const worker_call& call,
                     const task_order& order, const lock& held);
    void take_status(gang& g, gang_member& m, const task_status& status,
                     const lock& held);
    void judge_gangs(const tenure& t);
    void journal_progress(const tenure& t);

    // gang_stop.cpp
    void begin_stop(gang& g, gang_end end, const std::string& reason,
                    const lock& held);
    void stop_gangs(const tenure& t, bool again);
    void end_gangs(const tenure& t);
    void end_gang(const std::string& id, const tenure& t);
    wire::job_record end_record(const gang& g, const lock& held);
    void forget(const std::string& id, const wire::job_record& written,
                const lock& held);

    gang* find(const std::string& id, const tenure& t, const lock& held);

    const std::string data_centre_;
    owned_journal& journal_;
    const worker_source workers_;
    const document_source config_;
    timer_service& timers_;
    metrics& counters_;
    const gang_timing timing_;
    const evacuation_source evacuated_;
    worker_calls calls_;

    mutable std::mutex mutex_;
    tenure tenure_;
    std::shared_ptr<const document> document_;
    job_scheduler scheduler_;
    worker_quarantine quarantine_;
    std::unordered_map<std::string, gang> gangs_;
    std::map<std::string, worker_place> places_;
    std::map<std::string, time_point> avoid_until_; // After a refusal.
    // Workers without an answer to the last renewal. They are asked after the
    // others have been renewed, so that waiting for them costs no lease.
    std::set<std::string> silent_;
    // Workers that refused a renewal, perhaps for one task only. The gangs on
    // them are asked one by one.
    std::set<std::string> refusing_;
    std::unordered_map<std::string, std::uint32_t> failures_; // By job.
    std::unordered_set<std::string> submitting_;
    time_point refreshed_{};

    std::mutex ownership_; // Held while ownership is followed.
    // Held while a job's record is written, by the job's id, so that the
    // record of a cancellation is not overwritten by that of a start.
    std::array<std::mutex, 16> write_locks_;
    timer_subscription schedule_timer_;
    timer_subscription renew_timer_;
};

/// Returns the job as the scheduler takes it.
queued_job queued_job_of(const wire::job_record& job);

} // namespace limpetstack

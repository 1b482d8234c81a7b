#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpetstack::wire
{
class job_answer;
class job_cancel;
class job_list;
class job_query;
class job_submission;
class worker_entry;
} // namespace limpetstack::wire

namespace limpetstack
{

struct document;
class metrics;
class owned_journal;
class timer_service;
class worker_control;

/// Intervals and limits of the job path.
struct gang_timing
{
    milliseconds lease{3000};              // Of a task on its worker.
    milliseconds call_timeout{500};        // Every call but checkpoint.
    milliseconds checkpoint_timeout{2000}; // Before a gang is stopped.
    milliseconds schedule_interval{100};
    std::uint32_t max_attempts = 5;    // Then the job has failed.
    std::uint32_t parallel_calls = 32; // 1: on the calling thread, in order.
};

/// Runs the gangs of one data centre on the owner of its journal. All calls
/// may come from several threads; calls that write to the journal block.
class gang_coordinator
{
public:
    using worker_source = std::function<std::vector<wire::worker_entry>()>;
    using document_source = std::function<std::shared_ptr<const document>()>;
    using evacuation_source = std::function<bool()>;

    /// `workers` returns the live workers of the data centre; `config` returns
    /// the document in force, or null when there is none yet; `evacuated` says
    /// whether the data centre is evacuated, empty: never.
    gang_coordinator(std::string data_centre, owned_journal& journal,
                     worker_control& control, worker_source workers,
                     document_source config, timer_service& timers,
                     metrics& counters, gang_timing timing = {},
                     evacuation_source evacuated = {});
    ~gang_coordinator();

    gang_coordinator(const gang_coordinator&) = delete;
    gang_coordinator& operator=(const gang_coordinator&) = delete;

    /// Subscribes to the timer service.
    void start();

    /// Ends all activity and waits for calls in progress. Running tasks keep
    /// their leases, so that another owner can adopt them.
    void stop();

    /// Accepts or refuses a job. Idempotent by the job's id: a resend returns
    /// the job as it is now. `available` is false when this host may not
    /// decide or could not record the job; the caller resends the same id.
    wire::job_answer submit(const wire::job_submission& request);

    wire::job_list list(const wire::job_query& query) const;

    /// Cancels a job. The answer holds the job; its state is `stopping` until
    /// every member has stopped.
    wire::job_answer cancel(const wire::job_cancel& request);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Returns a new id `job-<data centre>-<incarnation>-<random>`.
std::string new_job_id(std::string_view data_centre, std::uint64_t incarnation);

/// Returns the data centre and incarnation of a job id, or an empty data
/// centre when it is no job id.
struct job_home
{
    std::string data_centre;
    std::uint64_t incarnation = 0;
};
job_home parse_job_id(std::string_view id);

} // namespace limpetstack

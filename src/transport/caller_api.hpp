#pragma once

#include "base/clock.hpp"
#include "transport/http_listener.hpp"

#include <functional>
#include <string>

namespace limpetstack::wire
{
class forwarded_answer;
class forwarded_request;
class job_answer;
class job_cancel;
class job_list;
class job_query;
class job_submission;
class upstream_entry;
class worker_entry;
} // namespace limpetstack::wire

namespace limpetstack
{

/// What the daemon does for callers, upstreams and workers. Calls come from
/// several threads; each may block.
struct caller_handlers
{
    std::string host;
    milliseconds announcement_lease{0};
    milliseconds default_deadline{0};

    /// Fills in the request's id when it is empty.
    std::function<wire::forwarded_answer(wire::forwarded_request&)> submit;
    std::function<std::string()> new_request_id; // Empty: none can be issued.
    std::function<wire::job_answer(const wire::job_submission&)> submit_job;
    std::function<wire::job_list(const wire::job_query&)> list_jobs;
    std::function<wire::job_answer(const wire::job_cancel&)> cancel_job;
    std::function<bool(const wire::upstream_entry&)> announce_upstream;
    std::function<bool(const wire::worker_entry&)> announce_worker;
};

/// Opens the listener for callers, upstreams and workers.
absl::StatusOr<std::unique_ptr<http_listener>>
open_caller_api(const std::string& address,
                const http_listener_options& options,
                const caller_handlers& handlers);

} // namespace limpetstack

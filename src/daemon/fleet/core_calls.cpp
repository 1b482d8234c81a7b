// Implements the part of `core_node` that serves calls of callers, workers and
// operators.
#include "daemon/fleet/core_node.hpp"

#include "base/log.hpp"
#include "coordination/fleet/fleet_answers.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// A control call that was forwarded to the leader fails after this time, which
// is shorter than the time that its sender waits.
constexpr milliseconds forward_timeout{900};

// Hosts ping several times a second; one that has been silent for this long is
// not connected.
constexpr milliseconds observation_time{3000};

http_server_answer to_http(const forwarded_answer& answer)
{
    http_server_answer out;
    out.status = answer.not_leader() ? 503 : answer.status();
    out.body = answer.body();
    out.retry_after_ms =
        answer.not_leader() ? retry_after_ms : answer.retry_after_ms();
    return out;
}

} // namespace

// Returns the functions that `fleet_service` uses. They may be called after the
// leadership has ended, because answers to callers may come that late.
fleet_service_dependencies core_node::service_dependencies()
{
    fleet_service_dependencies dependencies;
    dependencies.propose =
        [this](fleet_command command, consensus_runner::outcome_handler done)
    {
        propose_timed(std::move(command), std::move(done));
    };
    dependencies.read = [this](std::function<void(bool)> done)
    {
        runner_->read(std::move(done));
    };
    dependencies.begin_departure = [this](const worker_incarnation& worker,
                                          std::function<void(bool)> ready)
    {
        if (!leadership_)
        {
            ready(false);
            return;
        }
        leadership_->workers.begin_departure(worker, std::move(ready),
                                             boot_now());
    };
    dependencies.record_report = [this](const worker_report& report)
    {
        if (leadership_)
        {
            leadership_->workers.record_report(report, boot_now());
        }
    };
    dependencies.document = [this]
    {
        return document_ ? &*document_ : nullptr;
    };
    dependencies.group_applies_evacuations = [this]
    {
        return group_applies_evacuations();
    };
    dependencies.term = [this]
    {
        return runner_->replica().term();
    };
    dependencies.wall_ms = wall_clock_ms;
    dependencies.job_room_limit = [this]
    {
        return limits_.job_room;
    };
    dependencies.worker_room_limit = [this]
    {
        return limits_.worker_room;
    };
    dependencies.ended_job_retention = settings_.scheduler.ended_job_retention;
    dependencies.report_address = settings_.control_address;
    return dependencies;
}

// Returns false while a host that was heard of a short time ago is of a version
// that drops evacuations from its state and its snapshots.
bool core_node::group_applies_evacuations() const
{
    return std::all_of(observed_hosts_.begin(), observed_hosts_.end(),
                       [now = boot_now()](const auto& entry)
                       {
                           return entry.second.applies_evacuations ||
                                  now - entry.second.last_ping >
                                      observation_time;
                       });
}

void core_node::report_evacuations()
{
    counters_.set("evacuated_data_centres",
                  static_cast<double>(state_.evacuated().size()));
}

void core_node::serve_call(const forwarded_call& call,
                           const answer_handler& done)
{
    // After a suspension of this process, the tick detects that its leadership
    // has ended before the call is served.
    runner_->tick(boot_now());
    update_leadership();
    if (!leadership_ || stopping_)
    {
        done(not_leader_answer());
        return;
    }
    counters_.add(call.from_caller() ? "calls_total" : "control_calls_total");
    if (!call.from_caller())
    {
        service_.handle(call, done);
        counters_.set("workers_without_room",
                      static_cast<double>(service_.workers_without_room()));
    }
    else
    {
        service_.handle(
            call,
            [this, method = call.method(), target = call.target(),
             done](const forwarded_answer& answer)
            {
                log_refusal(method, target, answer);
                counters_.set(
                    "jobs_without_room",
                    static_cast<double>(service_.jobs_without_room()));
                counters_.set("calls_superseded",
                              static_cast<double>(service_.superseded_calls()));
                done(answer);
            });
    }
    run_due_work();
}

void core_node::log_refusal(const std::string& method,
                            const std::string& target,
                            const forwarded_answer& answer) const
{
    if (!is_refusal(answer) && !answer.not_leader() &&
        answer.status() != outcome_unknown_status)
    {
        return;
    }
    log_event(log_level::info, "caller_refused",
              {{"target", target},
               {"method", method},
               {"status", answer.not_leader() ? "not_leader"
                                              : absl::StrCat(answer.status())},
               {"term", absl::StrCat(runner_->replica().term())},
               {"document", absl::StrCat(document_ ? document_->version : 0)}});
}

void core_node::handle_control(http_server_request request,
                               http_responder respond)
{
    forwarded_call call;
    call.set_method(std::move(request.method));
    call.set_target(std::move(request.target));
    call.set_host(std::move(request.host));
    call.set_authorization(std::move(request.authorization));
    call.set_body(std::move(request.body));
    runner_->tick(boot_now());
    update_leadership();
    if (leadership_ && !stopping_)
    {
        serve_call(call,
                   [respond](const forwarded_answer& answer)
                   {
                       respond(to_http(answer));
                   });
        return;
    }
    forward_to_leader(std::move(call), std::move(respond));
}

void core_node::forward_to_leader(forwarded_call call, http_responder respond)
{
    const auto leader = leader_address();
    call.set_id(next_call_++);
    peer_frame frame;
    *frame.mutable_call() = std::move(call);
    if (leader.empty() || leader == settings_.peer_address ||
        !links_->send(leader, frame))
    {
        respond({503, "{}", retry_after_ms});
        return;
    }
    forwarded_calls_[frame.call().id()] = {std::move(respond),
                                           boot_now() + forward_timeout};
}

void core_node::fail_expired_calls()
{
    const auto now = boot_now();
    for (auto at = forwarded_calls_.begin(); at != forwarded_calls_.end();)
    {
        if (at->second.deadline > now)
        {
            ++at;
            continue;
        }
        const auto respond = std::move(at->second.respond);
        at = forwarded_calls_.erase(at);
        respond({504, "{}", 0});
    }
}

} // namespace limpetstack::fleet

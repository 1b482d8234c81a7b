#include "daemon/daemon.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "base/system_timer_service.hpp"
#include "coordination/dispatcher.hpp"
#include "coordination/journal_replicator.hpp"
#include "coordination/membership.hpp"
#include "coordination/request_coordinator.hpp"
#include "daemon/control_service.hpp"
#include "daemon/operator_service.hpp"
#include "daemon/work_service.hpp"
#include "limpetstack/settings.hpp"
#include "state/data_folder.hpp"
#include "transport/caller_api.hpp"
#include "transport/operator_api.hpp"
#include "transport/peer_client.hpp"
#include "transport/peer_handlers.hpp"
#include "transport/peer_server.hpp"

#include <peer.pb.h>

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <string>
#include <utility>

namespace limpetstack
{
namespace
{

// Timers whose callbacks call other hosts block, so that several threads serve
// them.
constexpr int timer_threads = 8;
constexpr std::uint32_t operator_threads = 8;
// A console page sends the document in a form, which makes it longer.
constexpr std::uint64_t form_factor = 4;

/// All parts of one daemon, in the order of their construction.
struct daemon_parts
{
    explicit daemon_parts(const settings& given)
        : own(given)
        , timers(timer_threads)
        , network(given, counters)
    {
    }

    const settings own;
    metrics counters;
    system_timer_service timers;
    peer_client network;
    std::unique_ptr<data_folder> folder;
    std::unique_ptr<control_service> control;
    std::unique_ptr<work_service> work;
    std::unique_ptr<peer_server> peers;
    std::unique_ptr<http_listener> callers;
    std::unique_ptr<http_listener> operators;
    std::atomic<bool> draining{false};
};

absl::Status open_state(daemon_parts& parts, bool found_group)
{
    if (!parts.own.data_folder.empty())
    {
        auto folder = data_folder::open(parts.own.data_folder);
        if (!folder.ok())
        {
            return folder.status();
        }
        parts.folder = *std::move(folder);
    }
    auto control =
        control_service::open(parts.own, parts.folder.get(), parts.network,
                              parts.timers, parts.counters, found_group);
    if (!control.ok())
    {
        return control.status();
    }
    parts.control = *std::move(control);
    auto work = work_service::open(parts.own, *parts.control, parts.network,
                                   parts.timers, parts.counters);
    if (!work.ok())
    {
        return work.status();
    }
    parts.work = *std::move(work);
    return absl::OkStatus();
}

void add_control_handlers(control_service& control, peer_handlers& handlers)
{
    handlers.deliver = [&control](const wire::consensus_message& message)
    {
        control.deliver(message);
    };
    handlers.propose = [&control](const wire::control_command& command)
    {
        return control.propose(command);
    };
    handlers.read_config = [&control](const wire::config_request& request)
    {
        return control.read_config(request);
    };
    handlers.read_audit = [&control](const wire::audit_request& request)
    {
        return control.read_audit(request);
    };
    handlers.read_members = [&control]
    {
        return control.read_members();
    };
}

void add_work_handlers(work_service& work, peer_handlers& handlers)
{
    handlers.push = [&work](const wire::soft_state_delta& delta)
    {
        work.hosts().receive(delta);
    };
    handlers.exchange = [&work](const wire::soft_state_digest& digest)
    {
        return work.hosts().exchange(digest);
    };
    handlers.append = [&work](const wire::journal_append& request)
    {
        return work.journal().receive(request);
    };
    handlers.transition = [&work](const wire::request_transition& request)
    {
        return work.transition(request);
    };
    handlers.dispatch = [&work](const wire::forwarded_request& request)
    {
        return work.local_dispatcher().dispatch(request);
    };
    handlers.submit_job = [&work](const wire::job_submission& request)
    {
        return work.submit_job(request);
    };
    handlers.list_jobs = [&work](const wire::job_query& query)
    {
        return work.list_jobs(query);
    };
    handlers.cancel_job = [&work](const wire::job_cancel& request)
    {
        return work.cancel_job(request);
    };
}

absl::Status open_peers(daemon_parts& parts)
{
    peer_handlers handlers;
    add_control_handlers(*parts.control, handlers);
    add_work_handlers(*parts.work, handlers);
    auto server = peer_server::open(parts.own.peers_address, handlers);
    if (!server.ok())
    {
        return server.status();
    }
    parts.peers = *std::move(server);
    return absl::OkStatus();
}

caller_handlers make_caller_handlers(daemon_parts& parts)
{
    auto& work = *parts.work;
    caller_handlers handlers;
    handlers.host = parts.own.host;
    handlers.announcement_lease = parts.own.timing.announcement_lease;
    handlers.default_deadline = parts.own.timing.request_timeout;
    handlers.submit = [&work](wire::forwarded_request& request)
    {
        return work.requests().submit(request);
    };
    handlers.new_request_id = [&work]
    {
        return work.new_request_id();
    };
    handlers.submit_job = [&work](const wire::job_submission& request)
    {
        return work.submit_job(request);
    };
    handlers.list_jobs = [&work](const wire::job_query& query)
    {
        return work.list_jobs(query);
    };
    handlers.cancel_job = [&work](const wire::job_cancel& request)
    {
        return work.cancel_job(request);
    };
    handlers.announce_upstream = [&work](const wire::upstream_entry& entry)
    {
        return work.hosts().announce(entry);
    };
    handlers.announce_worker = [&work](const wire::worker_entry& entry)
    {
        return work.hosts().announce(entry);
    };
    return handlers;
}

// Bounds on what the clients of one listener make the daemon keep.
http_listener_options listener_options(daemon_parts& parts)
{
    // For files, peers and connections to upstreams.
    constexpr rlim_t reserved_descriptors = 200;
    constexpr rlim_t min_connections = 16;
    constexpr std::uint64_t bytes_per_connection = 32768;
    constexpr int listeners = 2;
    const auto memory = parts.own.limits.memory_bytes;
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    const auto available =
        std::max(descriptors.rlim_cur, reserved_descriptors) -
        reserved_descriptors;
    http_listener_options options;
    options.kept_bytes = memory / 4;
    options.connections = static_cast<std::uint32_t>(
        std::clamp<std::uint64_t>(available / listeners, min_connections,
                                  memory / 2 / bytes_per_connection));
    options.counters = &parts.counters;
    return options;
}

absl::Status open_callers(daemon_parts& parts)
{
    auto options = listener_options(parts);
    options.threads = parts.own.limits.http_threads;
    options.body_limit_bytes = parts.own.limits.request_body_bytes;
    auto listener = open_caller_api(parts.own.callers_address, options,
                                    make_caller_handlers(parts));
    if (!listener.ok())
    {
        return listener.status();
    }
    parts.callers = *std::move(listener);
    return absl::OkStatus();
}

std::string not_ready(const daemon_parts& parts)
{
    if (parts.draining)
    {
        return "shutting down";
    }
    return parts.control->config().current() ? "" : "no configuration in force";
}

absl::Status open_operators(daemon_parts& parts)
{
    auto handlers =
        make_operator_handlers(*parts.control, *parts.work, parts.counters);
    handlers.not_ready = [&parts]
    {
        return not_ready(parts);
    };
    auto options = listener_options(parts);
    options.threads = operator_threads;
    options.body_limit_bytes = form_factor * parts.own.limits.document_bytes;
    auto listener =
        open_operator_api(parts.own.operators_address, options, handlers);
    if (!listener.ok())
    {
        return listener.status();
    }
    parts.operators = *std::move(listener);
    return absl::OkStatus();
}

absl::Status start(daemon_parts& parts, bool found_group)
{
    auto status = open_state(parts, found_group);
    if (status.ok())
    {
        status = open_peers(parts);
    }
    if (status.ok())
    {
        status = parts.control->start();
    }
    if (!status.ok())
    {
        return status;
    }
    parts.work->start();
    status = open_callers(parts);
    return status.ok() ? open_operators(parts) : status;
}

void shut_down(daemon_parts& parts)
{
    parts.draining = true;
    if (parts.work)
    {
        parts.work->drain();
    }
    // Stopping a listener waits for its requests in progress, which still need
    // the peers.
    parts.callers.reset();
    if (parts.work)
    {
        parts.work->stop();
    }
    parts.operators.reset();
    if (parts.control)
    {
        parts.control->stop();
    }
    parts.peers.reset();
}

} // namespace

absl::Status run_daemon(const settings& own, bool found_group)
{
    // Blocked before any thread starts, so that only sigwait receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);

    daemon_parts parts(own);
    auto status = start(parts, found_group);
    if (status.ok())
    {
        log_event(log_level::info, "daemon_started",
                  {{"data_centre", own.data_centre},
                   {"callers", own.callers_address},
                   {"operators", own.operators_address},
                   {"peers", own.peers_address}});
        int received = 0;
        sigwait(&signals, &received);
        log_event(log_level::info, "shutdown_started",
                  {{"signal", std::to_string(received)}});
    }
    shut_down(parts);
    log_event(log_level::info, "daemon_stopped");
    return status;
}

} // namespace limpetstack

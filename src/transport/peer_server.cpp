#include "transport/peer_server.hpp"

#include "transport/peer_handlers.hpp"

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>
#include <peer.grpc.pb.h>

#include <utility>

namespace limpetstack
{
namespace
{

constexpr int message_limit_bytes = 256 << 20;
// Each blocked call holds a thread; further calls are refused.
constexpr int thread_limit = 1024;
// Must not be above the peers' keepalive time, or they are disconnected.
constexpr int ping_interval_ms = 1000;

// A connection that has not begun to speak HTTP/2 by then is closed. Anybody
// can open one, and each takes a descriptor.
constexpr int handshake_timeout_ms = 3000;

template <class Handler, class Request, class Response>
grpc::Status answer(const Handler& handler, const Request& request,
                    Response* response)
{
    if (!handler)
    {
        return grpc::Status(grpc::StatusCode::UNIMPLEMENTED,
                            "this host does not serve the call");
    }
    *response = handler(request);
    return grpc::Status::OK;
}

class control_endpoint final : public wire::control_service::Service
{
public:
    explicit control_endpoint(const peer_handlers& handlers)
        : handlers_(handlers)
    {
    }

    grpc::Status deliver(grpc::ServerContext*,
                         const wire::consensus_batch* request,
                         wire::empty*) override
    {
        for (const auto& message : request->messages())
        {
            if (handlers_.deliver)
            {
                handlers_.deliver(message);
            }
        }
        return grpc::Status::OK;
    }

    grpc::Status propose(grpc::ServerContext*,
                         const wire::control_command* request,
                         wire::command_outcome* response) override
    {
        return answer(handlers_.propose, *request, response);
    }

    grpc::Status read_config(grpc::ServerContext*,
                             const wire::config_request* request,
                             wire::config_response* response) override
    {
        return answer(handlers_.read_config, *request, response);
    }

    grpc::Status read_audit(grpc::ServerContext*,
                            const wire::audit_request* request,
                            wire::audit_response* response) override
    {
        return answer(handlers_.read_audit, *request, response);
    }

    grpc::Status read_members(grpc::ServerContext*, const wire::empty*,
                              wire::members_response* response) override
    {
        if (handlers_.read_members)
        {
            *response = handlers_.read_members();
        }
        return grpc::Status::OK;
    }

private:
    const peer_handlers& handlers_;
};

class soft_state_endpoint final : public wire::soft_state_service::Service
{
public:
    explicit soft_state_endpoint(const peer_handlers& handlers)
        : handlers_(handlers)
    {
    }

    grpc::Status push(grpc::ServerContext*,
                      const wire::soft_state_delta* request,
                      wire::empty*) override
    {
        if (handlers_.push)
        {
            handlers_.push(*request);
        }
        return grpc::Status::OK;
    }

    grpc::Status exchange(grpc::ServerContext*,
                          const wire::soft_state_digest* request,
                          wire::soft_state_delta* response) override
    {
        return answer(handlers_.exchange, *request, response);
    }

private:
    const peer_handlers& handlers_;
};

class journal_endpoint final : public wire::journal_service::Service
{
public:
    explicit journal_endpoint(const peer_handlers& handlers)
        : handlers_(handlers)
    {
    }

    grpc::Status append(grpc::ServerContext*,
                        const wire::journal_append* request,
                        wire::journal_append_response* response) override
    {
        return answer(handlers_.append, *request, response);
    }

    grpc::Status transition(grpc::ServerContext*,
                            const wire::request_transition* request,
                            wire::transition_response* response) override
    {
        return answer(handlers_.transition, *request, response);
    }

private:
    const peer_handlers& handlers_;
};

class work_endpoint final : public wire::work_service::Service
{
public:
    explicit work_endpoint(const peer_handlers& handlers)
        : handlers_(handlers)
    {
    }

    grpc::Status dispatch(grpc::ServerContext*,
                          const wire::forwarded_request* request,
                          wire::forwarded_answer* response) override
    {
        return answer(handlers_.dispatch, *request, response);
    }

    grpc::Status submit_job(grpc::ServerContext*,
                            const wire::job_submission* request,
                            wire::job_answer* response) override
    {
        return answer(handlers_.submit_job, *request, response);
    }

    grpc::Status list_jobs(grpc::ServerContext*, const wire::job_query* request,
                           wire::job_list* response) override
    {
        return answer(handlers_.list_jobs, *request, response);
    }

    grpc::Status cancel_job(grpc::ServerContext*,
                            const wire::job_cancel* request,
                            wire::job_answer* response) override
    {
        return answer(handlers_.cancel_job, *request, response);
    }

private:
    const peer_handlers& handlers_;
};

} // namespace

struct peer_server::state
{
    explicit state(peer_handlers functions)
        : handlers(std::move(functions))
        , control(handlers)
        , soft_state(handlers)
        , journal(handlers)
        , work(handlers)
    {
    }

    const peer_handlers handlers;
    control_endpoint control;
    soft_state_endpoint soft_state;
    journal_endpoint journal;
    work_endpoint work;
    std::unique_ptr<grpc::Server> server;
};

absl::StatusOr<std::unique_ptr<peer_server>>
peer_server::open(const std::string& address, peer_handlers handlers)
{
    auto opened = std::make_unique<state>(std::move(handlers));
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
        ping_interval_ms);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS,
                               handshake_timeout_ms);
    builder.SetMaxReceiveMessageSize(message_limit_bytes);
    builder.SetMaxSendMessageSize(message_limit_bytes);
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(thread_limit);
    builder.SetResourceQuota(quota);
    builder.RegisterService(&opened->control);
    builder.RegisterService(&opened->soft_state);
    builder.RegisterService(&opened->journal);
    builder.RegisterService(&opened->work);
    opened->server = builder.BuildAndStart();
    if (!opened->server || port == 0)
    {
        return absl::UnavailableError("can not listen for peers at " + address +
                                      "; is another process using it?");
    }
    return std::unique_ptr<peer_server>(new peer_server(std::move(opened)));
}

peer_server::peer_server(std::unique_ptr<state> opened)
    : state_(std::move(opened))
{
}

peer_server::~peer_server()
{
    stop();
}

void peer_server::stop()
{
    state_->server->Shutdown();
}

} // namespace limpetstack

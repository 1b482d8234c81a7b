#include "transport/peer_client.hpp"

#include "base/metrics.hpp"
#include "limpetstack/settings.hpp"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <atomic>
#include <map>
#include <mutex>

namespace limpetstack
{
namespace
{

// A link that is cut without an error is noticed after two of these.
constexpr int keepalive_ms = 2000;
// A healed link is used again within this time.
constexpr int reconnect_ms = 500;
constexpr milliseconds one_way_timeout{2000};
constexpr int one_way_limit = 64;
// Full journal copies and snapshots travel in one message.
constexpr int message_limit_bytes = 256 << 20;

struct peer_link
{
    std::unique_ptr<wire::control_service::Stub> control;
    std::unique_ptr<wire::soft_state_service::Stub> soft_state;
    std::unique_ptr<wire::journal_service::Stub> journal;
    std::unique_ptr<wire::work_service::Stub> work;
    std::atomic<int> outstanding{0}; // One-way messages without an answer.
};

std::shared_ptr<peer_link> connect(const std::string& address)
{
    grpc::ChannelArguments options;
    options.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    options.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_ms);
    options.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_ms);
    options.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    options.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    options.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnect_ms / 5);
    options.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnect_ms);
    options.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnect_ms);
    options.SetMaxReceiveMessageSize(message_limit_bytes);
    options.SetMaxSendMessageSize(message_limit_bytes);
    const auto channel = grpc::CreateCustomChannel(
        "ipv4:" + address, grpc::InsecureChannelCredentials(), options);
    auto link = std::make_shared<peer_link>();
    link->control = wire::control_service::NewStub(channel);
    link->soft_state = wire::soft_state_service::NewStub(channel);
    link->journal = wire::journal_service::NewStub(channel);
    link->work = wire::work_service::NewStub(channel);
    return link;
}

void set_deadline(grpc::ClientContext& context, milliseconds timeout)
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

absl::Status to_status(const grpc::Status& status)
{
    return absl::Status(static_cast<absl::StatusCode>(status.error_code()),
                        status.error_message());
}

template <class Stub, class Request, class Response>
absl::StatusOr<Response> call(Stub& stub,
                              grpc::Status (Stub::*method)(grpc::ClientContext*,
                                                           const Request&,
                                                           Response*),
                              const Request& request, milliseconds timeout)
{
    grpc::ClientContext context;
    set_deadline(context, timeout);
    Response response;
    const auto status = (stub.*method)(&context, request, &response);
    if (!status.ok())
    {
        return to_status(status);
    }
    return response;
}

template <class Request>
struct one_way_call
{
    grpc::ClientContext context;
    Request request;
    wire::empty response;
};

} // namespace

struct peer_client::connections
{
    std::mutex mutex;
    std::map<std::string, std::string> addresses;            // By host.
    std::map<std::string, std::shared_ptr<peer_link>> links; // By address.
    metrics* counters = nullptr;

    std::shared_ptr<peer_link> at(const std::string& address);
    std::shared_ptr<peer_link> of_host(const std::string& host);
    bool take_slot(peer_link& link);
};

std::shared_ptr<peer_link>
peer_client::connections::of_host(const std::string& host)
{
    const std::lock_guard lock(mutex);
    const auto found = addresses.find(host);
    if (found == addresses.end())
    {
        return nullptr;
    }
    auto& link = links[host];
    if (!link)
    {
        link = connect(found->second);
    }
    return link;
}

bool peer_client::connections::take_slot(peer_link& link)
{
    if (link.outstanding.fetch_add(1) < one_way_limit)
    {
        return true;
    }
    link.outstanding.fetch_sub(1);
    counters->add("peer_messages_dropped_total");
    return false;
}

peer_client::peer_client(const settings& configuration, metrics& counters)
    : connections_(std::make_shared<connections>())
{
    connections_->counters = &counters;
    for (const auto& peer : configuration.peers)
    {
        connections_->addresses[peer.host] = peer.address;
    }
}

peer_client::~peer_client() = default;

void peer_client::deliver(const std::string& host,
                          const wire::consensus_message& message)
{
    const auto link = connections_->of_host(host);
    if (!link || !connections_->take_slot(*link))
    {
        return;
    }
    auto state = std::make_shared<one_way_call<wire::consensus_batch>>();
    set_deadline(state->context, one_way_timeout);
    *state->request.add_messages() = message;
    link->control->async()->deliver(&state->context, &state->request,
                                    &state->response,
                                    [state, link](const grpc::Status&)
                                    {
                                        link->outstanding.fetch_sub(1);
                                    });
}

void peer_client::push(const std::string& host,
                       const wire::soft_state_delta& delta)
{
    const auto link = connections_->of_host(host);
    if (!link || !connections_->take_slot(*link))
    {
        return;
    }
    auto state = std::make_shared<one_way_call<wire::soft_state_delta>>();
    set_deadline(state->context, one_way_timeout);
    state->request = delta;
    link->soft_state->async()->push(&state->context, &state->request,
                                    &state->response,
                                    [state, link](const grpc::Status&)
                                    {
                                        link->outstanding.fetch_sub(1);
                                    });
}

// Every call to a named host has the same form: find its link, make the call.
#define LIMPETSTACK_PEER_CALL(name, part, request_type, response_type)         \
    absl::StatusOr<wire::response_type> peer_client::name(                     \
        const std::string& host, const wire::request_type& request,            \
        milliseconds timeout)                                                  \
    {                                                                          \
        const auto link = connections_->of_host(host);                         \
        if (!link)                                                             \
        {                                                                      \
            return absl::FailedPreconditionError("no peer named " + host);     \
        }                                                                      \
        return call(*link->part, &std::decay_t<decltype(*link->part)>::name,   \
                    request, timeout);                                         \
    }

LIMPETSTACK_PEER_CALL(exchange, soft_state, soft_state_digest, soft_state_delta)
LIMPETSTACK_PEER_CALL(propose, control, control_command, command_outcome)
LIMPETSTACK_PEER_CALL(read_config, control, config_request, config_response)
LIMPETSTACK_PEER_CALL(read_audit, control, audit_request, audit_response)
LIMPETSTACK_PEER_CALL(append, journal, journal_append, journal_append_response)
LIMPETSTACK_PEER_CALL(transition, journal, request_transition,
                      transition_response)
LIMPETSTACK_PEER_CALL(dispatch, work, forwarded_request, forwarded_answer)
LIMPETSTACK_PEER_CALL(submit_job, work, job_submission, job_answer)
LIMPETSTACK_PEER_CALL(list_jobs, work, job_query, job_list)
LIMPETSTACK_PEER_CALL(cancel_job, work, job_cancel, job_answer)

#undef LIMPETSTACK_PEER_CALL

absl::StatusOr<wire::members_response>
peer_client::read_members(const std::string& host, milliseconds timeout)
{
    const auto link = connections_->of_host(host);
    if (!link)
    {
        return absl::FailedPreconditionError("no peer named " + host);
    }
    return call(*link->control, &wire::control_service::Stub::read_members,
                wire::empty(), timeout);
}

} // namespace limpetstack

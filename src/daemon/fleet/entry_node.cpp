#include "daemon/fleet/entry_node.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"

#include <utility>

namespace limpetstack::fleet
{
namespace
{

// Ping interval, silence timeout and redial delay of connections to peers.
constexpr peer_links_options link_options{milliseconds(500), milliseconds(1200),
                                          milliseconds(200)};

constexpr milliseconds check_interval{100};

constexpr std::size_t origin_bytes = 16;

// Capacity of the listener for readiness checks.
constexpr http_server_capacity auxiliary_capacity{4U << 20U, 64};

// After this time the balancer sends no more calls: it checks readiness once a
// second and removes the host after the second failed check.
constexpr milliseconds balancer_drain_time{2500};

} // namespace

entry_node::entry_node(boost::asio::io_context& io,
                       const node_settings& settings,
                       const std::string& deadline_header, metrics& counters)
    : io_(io)
    , settings_(settings)
    , forwarder_(
          stable_hash(random_hex(origin_bytes)),
          [this](const std::string& address, const forwarded_call& call)
          {
              peer_frame frame;
              *frame.mutable_call() = call;
              return links_->send(address, frame);
          },
          counters)
    , caller_server_(
          io, deadline_header,
          [this](http_server_request request, const http_responder& respond)
          {
              accept_call(std::move(request), respond);
          })
    , readiness_server_(
          io, "",
          [this](const http_server_request&, const http_responder& respond)
          {
              const bool ready = !stopping_ && !forwarder_.leader().empty() &&
                                 document_version_ > 0;
              respond({ready ? 200U : 503U, "{}", 0});
          })
    , timer_(io)
{
    links_ = std::make_unique<peer_links>(
        io_, link_options,
        [this]
        {
            ping out;
            out.mutable_from()->set_name(settings_.name);
            out.mutable_from()->set_data_centre(settings_.data_centre);
            return out;
        },
        [this](const std::string& address, const peer_frame& frame)
        {
            on_frame(address, frame);
        },
        [this](const std::string& address, bool up)
        {
            on_link(address, up);
        });
    caller_server_.set_capacity(
        capacity_for(settings_.memory_bytes, settings_.max_descriptors),
        &counters);
    readiness_server_.set_capacity(auxiliary_capacity, &counters);
    update_targets();
}

entry_node::~entry_node()
{
    lifetime_.reset();
}

bool entry_node::start()
{
    if (!caller_server_.listen(settings_.caller_address) ||
        !readiness_server_.listen(settings_.ready_address))
    {
        return false;
    }
    schedule_check();
    return true;
}

void entry_node::reload(const node_settings& settings)
{
    settings_.seeds = settings.seeds;
    update_targets();
}

void entry_node::stop()
{
    stopping_ = true;
    stopped_at_ = boot_now();
    caller_server_.start_draining();
}

bool entry_node::is_idle() const
{
    return stopping_ && boot_now() - stopped_at_ >= balancer_drain_time &&
           forwarder_.pending() == 0 && caller_server_.connections() == 0;
}

void entry_node::update_targets()
{
    std::set<std::string> targets(settings_.seeds.begin(),
                                  settings_.seeds.end());
    targets.insert(core_addresses_.begin(), core_addresses_.end());
    links_->set_targets(targets);
}

void entry_node::accept_call(http_server_request request,
                             const http_responder& respond)
{
    forwarded_call call;
    call.set_from_caller(true);
    call.set_method(std::move(request.method));
    call.set_host(std::move(request.host));
    call.set_target(std::move(request.target));
    call.set_authorization(std::move(request.authorization));
    call.set_body(std::move(request.body));
    forwarder_.accept(
        std::move(call), milliseconds(request.time_left_ms),
        [respond](const forwarded_answer& answer)
        {
            respond({answer.status(), answer.body(), answer.retry_after_ms()});
        },
        boot_now());
}

void entry_node::on_frame(const std::string& address, const peer_frame& frame)
{
    if (frame.has_status())
    {
        on_status(address, frame.status());
    }
    else if (frame.has_answer())
    {
        forwarder_.on_answer(address, frame.answer(), boot_now());
    }
}

void entry_node::on_status(const std::string& address,
                           const host_status& status)
{
    bool changed = false;
    for (const auto& member : status.members())
    {
        changed = core_addresses_.insert(member).second || changed;
    }
    if (changed)
    {
        update_targets();
    }
    if (status.document_version() > document_version_)
    {
        document_version_ = status.document_version();
        http_server_limits limits;
        limits.max_header_bytes = status.max_header_bytes();
        limits.max_body_bytes = status.max_body_bytes();
        limits.request_timeout_ms = status.header_timeout_ms();
        limits.idle_timeout_ms = status.idle_timeout_ms();
        caller_server_.set_limits(limits);
    }
    if (status.confirmed_leader())
    {
        forwarder_.set_leader(address, status.term(), boot_now());
    }
    else
    {
        forwarder_.drop_leader(address);
    }
}

void entry_node::on_link(const std::string& address, bool up)
{
    log_event(log_level::info, up ? "peer_up" : "peer_down",
              {{"peer", address}});
    if (!up)
    {
        forwarder_.on_link_lost(address);
    }
}

void entry_node::schedule_check()
{
    timer_.expires_after(check_interval);
    timer_.async_wait(
        [this, lifetime = std::weak_ptr<int>(lifetime_)](
            boost::system::error_code error)
        {
            if (!error && !lifetime.expired())
            {
                check();
                schedule_check();
            }
        });
}

void entry_node::check()
{
    const auto now = boot_now();
    forwarder_.check(now);
    if (stopping_ && now - stopped_at_ >= balancer_drain_time)
    {
        caller_server_.close_idle();
    }
}

} // namespace limpetstack::fleet

#include "daemon/fleet/entry_node.hpp"

#include "base/log.hpp"
#include "coordination/fleet/fleet_answers.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

// Ping interval, silence timeout and redial delay of connections to peers.
constexpr peer_links_options link_options{milliseconds(500), milliseconds(1200),
                                          milliseconds(200)};

constexpr milliseconds check_interval{100};

// A call that was not sent yet waits this long for a leader to be known.
constexpr milliseconds leader_wait_limit{900};

// This part of the caller's time is reserved for the transfer of the answer.
constexpr milliseconds answer_margin{150};

// Applies to calls that state no time limit.
constexpr milliseconds default_call_timeout{3000};

// After this time the balancer sends no more calls: it checks readiness once a
// second and removes the host after the second failed check.
constexpr milliseconds balancer_drain_time{2500};

} // namespace

entry_node::entry_node(boost::asio::io_context& io,
                       const node_settings& settings,
                       const std::string& deadline_header, metrics& counters)
    : io_(io)
    , settings_(settings)
    , counters_(counters)
    , caller_server_(io, deadline_header,
                     [this](http_server_request request, http_responder respond)
                     {
                         accept_call(std::move(request), std::move(respond));
                     })
    , readiness_server_(
          io, "",
          [this](const http_server_request&, const http_responder& respond)
          {
              const bool ready =
                  !stopping_ && !leader_.empty() && document_version_ > 0;
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
           pending_calls_.empty() && caller_server_.connections() == 0;
}

void entry_node::update_targets()
{
    std::set<std::string> targets(settings_.seeds.begin(),
                                  settings_.seeds.end());
    targets.insert(core_addresses_.begin(), core_addresses_.end());
    links_->set_targets(targets);
}

void entry_node::accept_call(http_server_request request,
                             http_responder respond)
{
    const auto now = boot_now();
    const auto id = next_call_++;
    auto& item = pending_calls_[id];
    item.call.set_id(id);
    item.call.set_from_caller(true);
    item.call.set_method(std::move(request.method));
    item.call.set_host(std::move(request.host));
    item.call.set_target(std::move(request.target));
    item.call.set_authorization(std::move(request.authorization));
    item.call.set_body(std::move(request.body));
    item.respond = std::move(respond);
    item.arrived_at = now;
    const auto time_left = request.time_left_ms > 0
                               ? milliseconds(request.time_left_ms)
                               : default_call_timeout;
    item.deadline = now + std::max(time_left - answer_margin, time_left / 2);
    try_send(id);
}

void entry_node::try_send(std::uint64_t id)
{
    auto& item = pending_calls_.at(id);
    if (leader_.empty())
    {
        return;
    }
    peer_frame frame;
    *frame.mutable_call() = item.call;
    if (links_->send(leader_, frame))
    {
        item.sent_to = leader_;
        item.was_sent = true;
    }
}

void entry_node::send_unsent_calls()
{
    std::vector<std::uint64_t> unsent;
    for (const auto& [id, item] : pending_calls_)
    {
        if (item.sent_to.empty())
        {
            unsent.push_back(id);
        }
    }
    for (const auto id : unsent)
    {
        try_send(id);
    }
}

void entry_node::answer_call(std::uint64_t id, http_server_answer out,
                             const char* reason)
{
    const auto found = pending_calls_.find(id);
    if (found == pending_calls_.end())
    {
        return;
    }
    const auto item = std::move(found->second);
    pending_calls_.erase(found);
    counters_.observe_latency(
        absl::StrCat("call_ms{method=\"", item.call.method(), "\",status=\"",
                     out.status, "\"}"),
        static_cast<double>((boot_now() - item.arrived_at).count()));
    if (out.status >= 400 && out.status != 410)
    {
        log_event(log_level::info, "call_refused",
                  {{"target", item.call.target()},
                   {"method", item.call.method()},
                   {"status", absl::StrCat(out.status)},
                   {"reason", reason},
                   {"leader", leader_},
                   {"term", absl::StrCat(leader_term_)},
                   {"held_ms",
                    absl::StrCat((boot_now() - item.arrived_at).count())}});
    }
    item.respond(std::move(out));
}

// Ends a call without an answer of the leader. A call that was never sent has
// not run and may be repeated; a call that was sent may have run.
void entry_node::fail_call(std::uint64_t id, const char* reason)
{
    const bool was_sent = pending_calls_.at(id).was_sent;
    answer_call(id,
                was_sent ? http_server_answer{504, "{}", 0}
                         : http_server_answer{503, "{}", retry_after_ms},
                reason);
}

void entry_node::on_frame(const std::string& address, const peer_frame& frame)
{
    if (frame.has_status())
    {
        on_status(address, frame.status());
        return;
    }
    if (!frame.has_answer())
    {
        return;
    }
    const auto& received = frame.answer();
    const auto found = pending_calls_.find(received.id());
    if (found == pending_calls_.end() || found->second.sent_to != address)
    {
        return;
    }
    if (received.not_leader())
    {
        // The call is sent again when a leader is known. This is safe because
        // calls are idempotent.
        found->second.sent_to.clear();
        if (leader_ == address)
        {
            leader_.clear();
        }
        return;
    }
    if (received.status() == 504)
    {
        found->second.sent_to.clear();
        return;
    }
    answer_call(received.id(),
                {received.status(), received.body(), received.retry_after_ms()},
                "leader");
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
    if (status.confirmed_leader() && status.term() >= leader_term_)
    {
        if (leader_ != address)
        {
            log_event(
                log_level::info, "leader_known",
                {{"leader", address}, {"term", absl::StrCat(status.term())}});
        }
        leader_ = address;
        leader_term_ = status.term();
        send_unsent_calls();
    }
    else if (!status.confirmed_leader() && leader_ == address)
    {
        leader_.clear();
    }
}

void entry_node::on_link(const std::string& address, bool up)
{
    log_event(log_level::info, up ? "peer_up" : "peer_down",
              {{"peer", address}});
    if (up)
    {
        return;
    }
    if (leader_ == address)
    {
        leader_.clear();
    }
    for (auto& [id, item] : pending_calls_)
    {
        if (item.sent_to == address)
        {
            item.sent_to.clear();
        }
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
                check_pending_calls();
                schedule_check();
            }
        });
}

void entry_node::check_pending_calls()
{
    const auto now = boot_now();
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> without_leader;
    for (const auto& [id, item] : pending_calls_)
    {
        if (now >= item.deadline)
        {
            expired.push_back(id);
        }
        else if (!item.was_sent && now - item.arrived_at >= leader_wait_limit)
        {
            without_leader.push_back(id);
        }
    }
    for (const auto id : expired)
    {
        fail_call(id, "the call's time limit has passed");
    }
    for (const auto id : without_leader)
    {
        fail_call(id, "no leader is known");
    }
    if (stopping_ && now - stopped_at_ >= balancer_drain_time)
    {
        caller_server_.close_idle();
    }
    send_unsent_calls();
}

} // namespace limpetstack::fleet

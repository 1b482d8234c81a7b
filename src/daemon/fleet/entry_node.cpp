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

constexpr peer_links_options link_options{milliseconds(500), milliseconds(1200),
                                          milliseconds(200)};

constexpr milliseconds check_interval{100};

// How long a request that was not sent yet waits for a leader to be known.
constexpr milliseconds leader_patience{900};

// Kept back from the caller's time for the way of the answer.
constexpr milliseconds answer_margin{150};

constexpr milliseconds default_call_time{3000};

// The balancer asks once a second and acts on the second miss.
constexpr milliseconds balancer_delay{2500};

} // namespace

entry_node::entry_node(boost::asio::io_context& io,
                       const node_settings& settings,
                       const std::string& deadline_header, metrics& counters)
    : io_(io)
    , settings_(settings)
    , counters_(counters)
    , callers_(io, deadline_header,
               [this](http_server_request request, http_responder respond)
               {
                   take_call(std::move(request), std::move(respond));
               })
    , ready_(io, "",
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
    alive_.reset();
}

bool entry_node::start()
{
    if (!callers_.listen(settings_.caller_address) ||
        !ready_.listen(settings_.ready_address))
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
    callers_.start_draining();
}

bool entry_node::is_idle() const
{
    return stopping_ && boot_now() - stopped_at_ >= balancer_delay &&
           calls_.empty() && callers_.connections() == 0;
}

void entry_node::update_targets()
{
    std::set<std::string> targets(settings_.seeds.begin(),
                                  settings_.seeds.end());
    targets.insert(members_.begin(), members_.end());
    links_->set_targets(targets);
}

void entry_node::take_call(http_server_request request, http_responder respond)
{
    const auto now = boot_now();
    const auto id = next_call_++;
    auto& item = calls_[id];
    item.call.set_id(id);
    item.call.set_from_caller(true);
    item.call.set_method(std::move(request.method));
    item.call.set_host(std::move(request.host));
    item.call.set_target(std::move(request.target));
    item.call.set_authorization(std::move(request.authorization));
    item.call.set_body(std::move(request.body));
    item.respond = std::move(respond);
    item.arrived = now;
    const auto time = request.time_left_ms > 0
                          ? milliseconds(request.time_left_ms)
                          : default_call_time;
    item.until = now + std::max(time - answer_margin, time / 2);
    send_pending(id);
}

void entry_node::send_pending(std::uint64_t id)
{
    auto& item = calls_.at(id);
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

void entry_node::send_waiting()
{
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, item] : calls_)
    {
        if (item.sent_to.empty())
        {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting)
    {
        send_pending(id);
    }
}

void entry_node::answer(std::uint64_t id, http_server_answer out,
                        const char* reason)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
    {
        return;
    }
    const auto item = std::move(found->second);
    calls_.erase(found);
    counters_.observe_latency(
        absl::StrCat("call_ms{method=\"", item.call.method(), "\",status=\"",
                     out.status, "\"}"),
        static_cast<double>((boot_now() - item.arrived).count()));
    if (out.status >= 400 && out.status != 410)
    {
        log_event(
            log_level::info, "call_refused",
            {{"target", item.call.target()},
             {"method", item.call.method()},
             {"status", absl::StrCat(out.status)},
             {"reason", reason},
             {"leader", leader_},
             {"term", absl::StrCat(leader_term_)},
             {"held_ms", absl::StrCat((boot_now() - item.arrived).count())}});
    }
    item.respond(std::move(out));
}

// A call that never left this host has not run. Another may have.
void entry_node::give_up(std::uint64_t id, const char* reason)
{
    const bool was_sent = calls_.at(id).was_sent;
    answer(id,
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
    const auto found = calls_.find(received.id());
    if (found == calls_.end() || found->second.sent_to != address)
    {
        return;
    }
    if (received.not_leader())
    {
        // Sent again when a leader is known; the calls are idempotent.
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
    answer(received.id(),
           {received.status(), received.body(), received.retry_after_ms()},
           "leader");
}

void entry_node::on_status(const std::string& address,
                           const host_status& status)
{
    bool changed = false;
    for (const auto& member : status.members())
    {
        changed = members_.insert(member).second || changed;
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
        callers_.set_limits(limits);
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
        send_waiting();
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
    for (auto& [id, item] : calls_)
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
        [this,
         alive = std::weak_ptr<int>(alive_)](boost::system::error_code error)
        {
            if (!error && !alive.expired())
            {
                check();
                schedule_check();
            }
        });
}

void entry_node::check()
{
    const auto now = boot_now();
    std::vector<std::uint64_t> over;
    std::vector<std::uint64_t> impatient;
    for (const auto& [id, item] : calls_)
    {
        if (now >= item.until)
        {
            over.push_back(id);
        }
        else if (!item.was_sent && now - item.arrived >= leader_patience)
        {
            impatient.push_back(id);
        }
    }
    for (const auto id : over)
    {
        give_up(id, "time is over");
    }
    for (const auto id : impatient)
    {
        give_up(id, "no leader is known");
    }
    if (stopping_ && now - stopped_at_ >= balancer_delay)
    {
        callers_.close_idle();
    }
    send_waiting();
}

} // namespace limpetstack::fleet

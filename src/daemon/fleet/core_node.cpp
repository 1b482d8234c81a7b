#include "daemon/fleet/core_node.hpp"

#include "base/log.hpp"
#include "coordination/member_rules.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds tick_interval{50};
constexpr milliseconds heartbeat{100};

// A leader that is not heard for this long is replaced; it stops leading when
// it has not heard a majority for as long.
constexpr milliseconds election_timeout{600};

constexpr milliseconds member_check_interval{250};
constexpr peer_links_options link_options{milliseconds(300), milliseconds(900),
                                          milliseconds(200)};

// Peers ping at least twice a second.
constexpr milliseconds peer_silence{3000};

// A control call that is passed on is given up before its sender moves on.
constexpr milliseconds forward_timeout{900};

constexpr char probe_file[] = "disk-probe";
constexpr milliseconds disk_probe_interval{500};

constexpr std::uint32_t max_control_body = 8U << 20U;
constexpr std::uint32_t retry_after_ms = 1000;

consensus_options options_for(const node_settings& settings, std::uint64_t id)
{
    consensus_options options;
    options.id = id;
    options.peer_address = settings.peer_address;
    options.heartbeat = heartbeat;
    options.election_timeout = election_timeout;
    options.seed = id;
    return options;
}

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

core_node::leadership::leadership(core_node& node, std::uint64_t term)
    : port(node.io_, node.protocol_)
    , workers(
          node.settings_.workers, node.state_, port,
          [&node](fleet_command command)
          {
              node.runner_->propose(std::move(command), {});
          },
          boot_now, term, node.counters_)
    , scheduler(
          node.settings_.scheduler, node.state_, workers,
          [&node](fleet_command command)
          {
              node.runner_->propose(std::move(command), {});
          },
          node.counters_)
    , service(node.protocol_, node.state_,
              {[&node](fleet_command command,
                       consensus_runner::outcome_handler done)
               {
                   node.propose_timed(std::move(command), std::move(done));
               },
               [&node](std::function<void(bool)> done)
               {
                   node.runner_->read(std::move(done));
               },
               [&node](const worker_report& report)
               {
                   if (node.leading_)
                   {
                       node.leading_->workers.note_report(report, boot_now());
                   }
               },
               [&node]
               {
                   return node.document_ ? &*node.document_ : nullptr;
               },
               wall_clock_ms, node.settings_.control_address})
    , since(boot_now())
{
    if (node.document_)
    {
        scheduler.use_document(*node.document_);
    }
}

core_node::core_node(boost::asio::io_context& io, const node_settings& settings,
                     const external_protocol& protocol, replica_storage storage,
                     metrics& counters)
    : io_(io)
    , settings_(settings)
    , counters_(counters)
    , protocol_(protocol)
    , storage_(std::move(storage))
    , disk_(io, counters)
    , listener_(io,
                [this](const std::shared_ptr<frame_connection>& from,
                       const peer_frame& frame)
                {
                    on_peer_frame(from, frame);
                })
    , control_(io, "",
               [this](http_server_request request, http_responder respond)
               {
                   handle_control(std::move(request), std::move(respond));
               })
    , timer_(io)
    , disk_timer_(io)
{
    consensus_runner::effects effects;
    effects.send = [this](const wire::consensus_message& message)
    {
        send_message(message);
    };
    effects.on_applied = [this](const fleet_command& command, applied result)
    {
        if (command.has_put_document() && result == applied::changed)
        {
            use_document();
        }
        if (leading_)
        {
            const auto now = boot_now();
            leading_->workers.on_applied(command, result, now);
            leading_->scheduler.on_applied(command, result, now);
        }
    };
    effects.on_batch = [this]
    {
        if (leading_)
        {
            leading_->workers.advance(boot_now());
        }
    };
    effects.on_restored = [this]
    {
        leading_.reset();
        use_document();
    };
    effects.on_disk_error = [this](const absl::Status& status)
    {
        log_event(log_level::error, "disk_failed",
                  {{"reason", std::string(status.message())}});
        leading_.reset();
        wait_for_disk();
    };
    runner_ = std::make_unique<consensus_runner>(
        options_for(settings_, storage_.id), storage_.content, *storage_.log,
        disk_, state_, std::move(effects), boot_now());
    storage_.content = {};
    use_document();
    links_ = std::make_unique<peer_links>(
        io_, link_options,
        [this]
        {
            ping out;
            auto& from = *out.mutable_from();
            from.set_name(settings_.name);
            from.set_core(true);
            from.set_peer_address(settings_.peer_address);
            from.set_replica(storage_.id);
            from.set_data_centre(settings_.data_centre);
            return out;
        },
        [this](const std::string&, const peer_frame& frame)
        {
            on_link_frame(frame);
        },
        [](const std::string& address, bool up)
        {
            log_event(log_level::info, up ? "peer_up" : "peer_down",
                      {{"peer", address}});
        });
    update_targets();
}

core_node::~core_node()
{
    alive_.reset();
}

bool core_node::start()
{
    http_server_limits limits;
    limits.max_body_bytes = max_control_body;
    control_.set_limits(limits);
    if (!listener_.listen(settings_.peer_address) ||
        (!settings_.control_address.empty() &&
         !control_.listen(settings_.control_address)))
    {
        return false;
    }
    schedule_tick();
    return true;
}

void core_node::reload(const node_settings& settings)
{
    settings_.seeds = settings.seeds;
    update_targets();
}

void core_node::stop()
{
    stopping_ = true;
    if (leading_)
    {
        peer_frame frame;
        frame.mutable_timeout_now();
        for (const auto& member : runner_->core().log().members().members())
        {
            if (member.voter() && member.id() != storage_.id &&
                links_->send(member.peer_address(), frame))
            {
                break;
            }
        }
    }
    leading_.reset();
    control_.start_draining();
    control_.close_idle();
}

void core_node::schedule_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this,
         alive = std::weak_ptr<int>(alive_)](boost::system::error_code error)
        {
            if (!error && !alive.expired())
            {
                on_tick();
                schedule_tick();
            }
        });
}

void core_node::on_tick()
{
    runner_->tick(boot_now());
    follow_leadership();
    work();
    fail_forwarded();
    listener_.close_silent(peer_silence);
}

// Begins and ends what only a leader does, as the protocol's role changes.
void core_node::follow_leadership()
{
    const auto& core = runner_->core();
    if (leading_ && (!core.leads() || leading_->workers.deposed()))
    {
        log_event(log_level::info, "leadership_ended",
                  {{"term", absl::StrCat(core.term())}});
        leading_.reset();
        confirming_term_ = core.leads() ? core.term() : 0;
    }
    if (!leading_ && core.leads() && !stopping_ &&
        confirming_term_ != core.term())
    {
        confirming_term_ = core.term();
        runner_->read(
            [this, term = core.term()](bool confirmed)
            {
                if (confirmed && runner_->core().leads() &&
                    runner_->core().term() == term && !leading_)
                {
                    begin_leadership();
                }
                else if (!confirmed && confirming_term_ == term)
                {
                    confirming_term_ = 0;
                }
            });
        runner_->pump();
    }
    const auto leader = leader_address();
    if (leader != last_leader_)
    {
        log_event(log_level::info, "leader_changed",
                  {{"leader", leader}, {"term", absl::StrCat(core.term())}});
        last_leader_ = leader;
        push_status();
    }
}

void core_node::begin_leadership()
{
    const auto term = runner_->core().term();
    log_event(log_level::info, "leadership_began",
              {{"term", absl::StrCat(term)},
               {"jobs", absl::StrCat(state_.jobs().size())},
               {"workers", absl::StrCat(state_.workers().size())}});
    counters_.add("leaderships_total");
    leading_ = std::make_unique<leadership>(*this, term);
    push_status();
}

// Lets the scheduler and the orders to workers go on, until nothing is due.
void core_node::work()
{
    if (working_)
    {
        return;
    }
    working_ = true;
    if (leading_)
    {
        const auto now = boot_now();
        leading_->scheduler.run_round(now, wall_clock_ms());
        counters_.set("waiting_steps",
                      static_cast<double>(leading_->scheduler.waiting_steps()));
        leading_->workers.advance(now);
        manage_members();
    }
    runner_->pump();
    working_ = false;
}

void core_node::manage_members()
{
    const auto now = boot_now();
    if (now - members_checked_ < member_check_interval)
    {
        return;
    }
    members_checked_ = now;
    const auto& members = runner_->core().log().members();
    member_policy_options options;
    options.voters = std::min<std::size_t>(
        2 * std::max<std::size_t>(settings_.tolerated_losses, 1) + 1,
        max_voters);
    const auto change = plan_members(members, storage_.id, sightings_, options,
                                     leading_->since, now);
    if (!change)
    {
        return;
    }
    const auto result = runner_->change_members(*change);
    if (result.index != 0)
    {
        log_event(log_level::info, "member_change",
                  {{"change", wire::member_change::kind_Name(change->change())},
                   {"member", absl::StrCat(absl::Hex(change->subject().id()))},
                   {"index", absl::StrCat(result.index)}});
    }
    update_targets();
}

void core_node::use_document()
{
    if (state_.document().version() == 0)
    {
        return;
    }
    auto document = protocol_.decode_document(state_.document().text());
    if (!document.ok())
    {
        log_event(log_level::error, "document_unreadable",
                  {{"version", absl::StrCat(state_.document().version())},
                   {"reason", std::string(document.status().message())}});
        return;
    }
    document_ = std::move(*document);
    log_event(log_level::info, "document_in_force",
              {{"version", absl::StrCat(document_->version)}});
    if (leading_)
    {
        leading_->scheduler.use_document(*document_);
    }
    if (links_)
    {
        push_status();
    }
}

// After a failed write nothing in memory can be trusted to be on the disk. The
// host goes on passing calls to the leader and starts anew once the disk takes
// writes again.
void core_node::wait_for_disk()
{
    disk_.run(
        [this]
        {
            return storage_.folder->replace_file(probe_file, "probe");
        },
        [this](const absl::Status& status)
        {
            if (status.ok())
            {
                log_event(log_level::info, "disk_recovered", {});
                flush_log();
                std::_Exit(EXIT_FAILURE);
            }
            disk_timer_.expires_after(disk_probe_interval);
            disk_timer_.async_wait(
                [this, alive = std::weak_ptr<int>(alive_)](
                    boost::system::error_code error)
                {
                    if (!error && !alive.expired())
                    {
                        wait_for_disk();
                    }
                });
        });
}

void core_node::propose_timed(fleet_command command,
                              consensus_runner::outcome_handler done)
{
    runner_->propose(std::move(command),
                     [this, done = std::move(done), began = boot_now()](
                         proposal_outcome outcome, applied result)
                     {
                         counters_.observe_latency(
                             "commit_ms",
                             static_cast<double>((boot_now() - began).count()));
                         done(outcome, result);
                     });
}

// --------------------------------------------------------------------- peers

void core_node::update_targets()
{
    std::set<std::string> targets(settings_.seeds.begin(),
                                  settings_.seeds.end());
    for (const auto& member : runner_->core().log().members().members())
    {
        targets.insert(member.peer_address());
        addresses_[member.id()] = member.peer_address();
    }
    targets.insert(heard_members_.begin(), heard_members_.end());
    targets.erase(settings_.peer_address);
    links_->set_targets(targets);
}

void core_node::send_message(const wire::consensus_message& message)
{
    const auto* const member =
        find_member(runner_->core().log().members(), message.to());
    const auto known = addresses_.find(message.to());
    const auto address = member != nullptr           ? member->peer_address()
                         : known != addresses_.end() ? known->second
                                                     : std::string();
    peer_frame frame;
    *frame.mutable_consensus() = message;
    links_->send(address, frame);
}

void core_node::on_consensus(const wire::consensus_message& message)
{
    if (!message.from_address().empty())
    {
        addresses_[message.from()] = message.from_address();
        if (heard_members_.insert(message.from_address()).second)
        {
            update_targets();
        }
    }
    runner_->receive(message, boot_now());
    follow_leadership();
    work();
}

void core_node::note_sighting(const hello& from)
{
    if (!from.core())
    {
        return;
    }
    sightings_[from.replica()] = {from.replica(), from.name(),
                                  from.peer_address(), from.data_centre(),
                                  boot_now()};
    addresses_[from.replica()] = from.peer_address();
    if (heard_members_.insert(from.peer_address()).second)
    {
        update_targets();
    }
}

void core_node::on_peer_frame(const std::shared_ptr<frame_connection>& from,
                              const peer_frame& frame)
{
    switch (frame.body_case())
    {
    case peer_frame::kPing:
    {
        note_sighting(frame.ping().from());
        const bool known = std::any_of(subscribers_.begin(), subscribers_.end(),
                                       [&](const auto& item)
                                       {
                                           return item.lock() == from;
                                       });
        if (!known)
        {
            subscribers_.push_back(from);
        }
        peer_frame answer;
        *answer.mutable_status() = status();
        from->send(answer);
        break;
    }
    case peer_frame::kConsensus:
        on_consensus(frame.consensus());
        break;
    case peer_frame::kCall:
        serve_call(frame.call(),
                   [weak = std::weak_ptr<frame_connection>(from),
                    id = frame.call().id()](const forwarded_answer& answer)
                   {
                       if (const auto to = weak.lock())
                       {
                           peer_frame out;
                           *out.mutable_answer() = answer;
                           out.mutable_answer()->set_id(id);
                           to->send(out);
                       }
                   });
        break;
    default:
        break;
    }
}

void core_node::on_link_frame(const peer_frame& frame)
{
    if (frame.has_answer())
    {
        const auto found = forwarded_.find(frame.answer().id());
        if (found != forwarded_.end())
        {
            const auto respond = std::move(found->second.respond);
            forwarded_.erase(found);
            respond(to_http(frame.answer()));
        }
    }
}

std::string core_node::leader_address() const
{
    const auto& core = runner_->core();
    if (core.leads())
    {
        return settings_.peer_address;
    }
    const auto* const member = find_member(core.log().members(), core.leader());
    if (member != nullptr)
    {
        return member->peer_address();
    }
    const auto known = addresses_.find(core.leader());
    return core.leader() == 0 || known == addresses_.end() ? std::string()
                                                           : known->second;
}

host_status core_node::status() const
{
    host_status out;
    out.set_term(runner_->core().term());
    out.set_leader_address(leader_address());
    out.set_confirmed_leader(leading_ != nullptr);
    for (const auto& member : runner_->core().log().members().members())
    {
        out.add_members(member.peer_address());
    }
    if (document_)
    {
        out.set_document_version(document_->version);
        out.set_max_header_bytes(document_->limits.max_header_bytes);
        out.set_max_body_bytes(document_->limits.max_body_bytes);
        out.set_header_timeout_ms(document_->limits.header_timeout_ms);
        out.set_idle_timeout_ms(document_->limits.idle_timeout_ms);
    }
    return out;
}

void core_node::push_status()
{
    peer_frame frame;
    *frame.mutable_status() = status();
    auto& list = subscribers_;
    list.erase(std::remove_if(list.begin(), list.end(),
                              [](const auto& item)
                              {
                                  const auto open = item.lock();
                                  return !open || !open->is_open();
                              }),
               list.end());
    for (const auto& item : list)
    {
        if (const auto to = item.lock())
        {
            to->send(frame);
        }
    }
}

// --------------------------------------------------------------------- calls

void core_node::serve_call(const forwarded_call& call,
                           const answer_handler& done)
{
    // A host that was suspended finds out first whether it still leads.
    runner_->tick(boot_now());
    follow_leadership();
    if (!leading_ || stopping_)
    {
        forwarded_answer answer;
        answer.set_not_leader(true);
        done(answer);
        return;
    }
    counters_.add(call.from_caller() ? "calls_total" : "control_calls_total");
    leading_->service.handle(call, done);
    work();
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
    follow_leadership();
    if (leading_ && !stopping_)
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
    forwarded_[frame.call().id()] = {std::move(respond),
                                     boot_now() + forward_timeout};
}

void core_node::fail_forwarded()
{
    const auto now = boot_now();
    for (auto at = forwarded_.begin(); at != forwarded_.end();)
    {
        if (at->second.until > now)
        {
            ++at;
            continue;
        }
        const auto respond = std::move(at->second.respond);
        at = forwarded_.erase(at);
        respond({504, "{}", 0});
    }
}

} // namespace limpetstack::fleet

#include "coordination/control_group.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "coordination/consensus.hpp"
#include "coordination/consensus_driver.hpp"
#include "coordination/member_rules.hpp"
#include "coordination/pending_call.hpp"
#include "coordination/state_machine.hpp"
#include "state/data_folder.hpp"
#include "state/log_store.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack
{
namespace
{

// Messages beyond this many queued events are dropped.
constexpr std::size_t max_queued_events = 4096;

// A snapshot is also taken after this much payload, so that large documents do
// not fill the memory.
constexpr std::uint64_t snapshot_bytes = 16U << 20U;

// Entries that a snapshot covers are kept for members that lag a little, up to
// this share of the snapshot interval and this much payload.
constexpr std::uint64_t kept_share = 4;
constexpr std::size_t kept_bytes = 4U << 20U;

} // namespace

struct control_group::view
{
    wire::members_response members;
    std::uint64_t members_index = 0;
    bool leads = false;
    std::string leader_address;
};

control_group::control_group(const control_group_options& options,
                             data_folder& folder, state_machine& state,
                             timer_service& timers, metrics& counters,
                             sender send)
    : options_(options)
    , replica_id_(folder.replica_id())
    , folder_(folder)
    , state_(state)
    , timers_(timers)
    , metrics_(counters)
    , send_(std::move(send))
    , view_(std::make_unique<view>())
{
}

control_group::~control_group()
{
    stop();
}

absl::StatusOr<std::unique_ptr<control_group>>
control_group::open(const control_group_options& options, data_folder& folder,
                    state_machine& state, timer_service& timers,
                    metrics& counters, sender send)
{
    std::unique_ptr<control_group> group(new control_group(
        options, folder, state, timers, counters, std::move(send)));
    if (auto status = group->load(); !status.ok())
    {
        return status;
    }
    return group;
}

absl::Status control_group::load()
{
    stored_log stored;
    auto store = log_store::open(folder_, stored);
    if (!store.ok())
    {
        return store.status();
    }
    store_ = std::move(*store);
    if (options_.found_group)
    {
        if (auto status = found(stored); !status.ok())
        {
            return status;
        }
    }
    if (stored.snapshot.index > 0)
    {
        state_.restore(stored.snapshot.index, stored.snapshot.state);
        applied_ = stored.snapshot.index;
    }
    consensus_options core;
    core.id = replica_id_;
    core.peer_address = options_.peer_address;
    core.heartbeat = options_.heartbeat;
    core.election_timeout = options_.election_timeout;
    core.seed = options_.seed;
    core_ = std::make_unique<consensus>(core, stored, timers_.now());
    publish();
    return absl::OkStatus();
}

// Stores the first entry: a membership with this replica as the only voter.
absl::Status control_group::found(stored_log& stored)
{
    if (!empty(stored))
    {
        return absl::FailedPreconditionError(
            absl::StrCat("data folder ", folder_.path(),
                         " already holds a control log: start without "
                         "founding a group"));
    }
    wire::membership members;
    auto& self = *members.add_members();
    self.set_id(replica_id_);
    self.set_host(options_.host);
    self.set_peer_address(options_.peer_address);
    self.set_data_centre(options_.data_centre);
    self.set_voter(true);
    wire::log_entry entry;
    entry.set_index(1);
    entry.set_term(1);
    entry.set_kind(wire::entry_membership);
    entry.set_payload(members.SerializeAsString());
    stored.entries.push_back(entry);
    if (auto status = store_->append(stored.entries); !status.ok())
    {
        return status;
    }
    stored.hard.term = 1;
    return store_->save_hard_state(stored.hard);
}

void control_group::start()
{
    {
        const std::lock_guard lock(queue_mutex_);
        if (!stopping_)
        {
            return;
        }
        stopping_ = false;
    }
    thread_ = std::thread(
        [this]
        {
            run();
        });
    // Two checks in each heartbeat interval keep its error below a half.
    const auto period = std::max(options_.heartbeat / 2, milliseconds(1));
    timer_ = timers_.every(period,
                           [this](time_point now)
                           {
                               tick(now);
                           });
}

void control_group::stop()
{
    timer_.reset();
    {
        const std::lock_guard lock(queue_mutex_);
        stopping_ = true;
    }
    queue_changed_.notify_all();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void control_group::tick(time_point now)
{
    if (!tick_queued_.exchange(true))
    {
        enqueue(
            [this, now]
            {
                tick_queued_ = false;
                core_->tick(now);
            },
            false);
    }
}

void control_group::receive(const wire::consensus_message& message)
{
    enqueue(
        [this, message]
        {
            if (message.to() == replica_id_ && !message.from_address().empty())
            {
                addresses_[message.from()] = message.from_address();
            }
            core_->receive(message);
        },
        true);
}

wire::command_outcome
control_group::propose(const wire::control_command& command,
                       milliseconds timeout)
{
    const auto call = std::make_shared<pending_call>();
    const auto queued = enqueue(
        [this, call, command]
        {
            start_proposal(call, command);
        },
        true);
    auto outcome = queued ? call->wait(timeout)
                          : make_outcome(wire::command_unavailable,
                                         "stopped or overloaded");
    metrics_.add(absl::StrCat("control_proposals_total{code=\"",
                              wire::command_code_Name(outcome.code()), "\"}"));
    return outcome;
}

bool control_group::confirm_read(milliseconds timeout)
{
    const auto call = std::make_shared<pending_call>();
    const auto queued = enqueue(
        [this, call]
        {
            start_read(call);
        },
        true);
    return queued && call->wait(timeout).code() == wire::command_accepted;
}

bool control_group::leads() const
{
    const std::lock_guard lock(view_mutex_);
    return view_->leads;
}

std::string control_group::leader_address() const
{
    const std::lock_guard lock(view_mutex_);
    return view_->leader_address;
}

wire::members_response control_group::members() const
{
    const std::lock_guard lock(view_mutex_);
    return view_->members;
}

bool control_group::enqueue(std::function<void()> event, bool droppable)
{
    {
        const std::lock_guard lock(queue_mutex_);
        if (stopping_)
        {
            return false;
        }
        if (droppable && queue_.size() >= max_queued_events)
        {
            metrics_.add("control_events_dropped_total");
            return false;
        }
        queue_.push_back(std::move(event));
    }
    queue_changed_.notify_one();
    return true;
}

void control_group::run()
{
    std::vector<std::function<void()>> events;
    for (bool more = true; more;)
    {
        {
            std::unique_lock lock(queue_mutex_);
            queue_changed_.wait(lock,
                                [this]
                                {
                                    return stopping_ || !queue_.empty();
                                });
            events = std::exchange(queue_, {});
            more = !stopping_;
        }
        if (!more && failure_.ok())
        {
            failure_ = absl::CancelledError("the control group was stopped");
        }
        // Everything queued shares one write to the disk.
        for (const auto& event : events)
        {
            event();
        }
        flush();
    }
}

void control_group::flush()
{
    if (failure_.ok())
    {
        const consensus_effects effects{
            [this](const wire::consensus_message& message)
            {
                send_message(message);
            },
            [this](const log_snapshot& snapshot)
            {
                state_.restore(snapshot.index, snapshot.state);
                applied_ = snapshot.index;
                bytes_since_snapshot_ = 0;
                metrics_.add("control_snapshots_installed_total");
            },
            [this](std::uint64_t commit)
            {
                apply_up_to(commit);
            },
            [this](const confirmed_read& read)
            {
                const auto found = reads_.find(read.ticket);
                if (found != reads_.end())
                {
                    found->second->finish(make_outcome(wire::command_accepted));
                    reads_.erase(found);
                }
            }};
        auto status = run_outputs(*core_, *store_, effects);
        if (status.ok())
        {
            status = compact_if_due();
        }
        if (!status.ok())
        {
            halt(status);
        }
    }
    fail_lost_calls();
    publish();
}

bool control_group::refuse_if_failed(pending_call& call) const
{
    if (failure_.ok())
    {
        return false;
    }
    call.finish(make_outcome(wire::command_unavailable,
                             std::string(failure_.message())));
    return true;
}

void control_group::start_proposal(const std::shared_ptr<pending_call>& call,
                                   const wire::control_command& command)
{
    if (refuse_if_failed(*call) || !call->start())
    {
        return;
    }
    const auto result = command.has_member()
                            ? core_->propose_change(command.member())
                            : core_->propose(command.SerializeAsString());
    calls_term_ = core_->term();
    if (result.index > 0)
    {
        proposals_[result.index] = {core_->term(), call};
        return;
    }
    const auto ticket = result.code == wire::command_accepted
                            ? core_->begin_read()
                            : std::nullopt;
    if (ticket)
    {
        // "No change needed" holds only while this replica really leads.
        reads_[*ticket] = call;
        return;
    }
    call->finish(make_outcome(result.code, result.message));
}

void control_group::start_read(const std::shared_ptr<pending_call>& call)
{
    if (refuse_if_failed(*call) || !call->start())
    {
        return;
    }
    const auto ticket = core_->begin_read();
    if (!ticket)
    {
        call->finish(make_outcome(wire::command_unavailable, "not the leader"));
        return;
    }
    calls_term_ = core_->term();
    reads_[*ticket] = call;
}

void control_group::send_message(const wire::consensus_message& message)
{
    std::string address;
    const auto learned = addresses_.find(message.to());
    if (learned != addresses_.end())
    {
        address = learned->second;
    }
    else if (const auto* const member =
                 find_member(core_->log().members(), message.to()))
    {
        address = member->peer_address();
    }
    if (!address.empty())
    {
        send_(address, message);
    }
}

void control_group::apply_up_to(std::uint64_t commit)
{
    while (applied_ < commit && failure_.ok())
    {
        apply_entry(core_->log().at(applied_ + 1));
        ++applied_;
    }
}

void control_group::apply_entry(const wire::log_entry& entry)
{
    bytes_since_snapshot_ += entry.payload().size();
    auto outcome = make_outcome(wire::command_accepted);
    if (entry.kind() == wire::entry_command)
    {
        wire::control_command command;
        if (!command.ParseFromString(entry.payload()))
        {
            // Skipping it could make replicas differ.
            failure_ = absl::DataLossError(absl::StrCat(
                "control log entry ", entry.index(), " can not be read"));
            return;
        }
        outcome = state_.apply(entry.index(), command);
    }
    finish_proposal(entry, outcome);
}

void control_group::finish_proposal(const wire::log_entry& entry,
                                    const wire::command_outcome& outcome)
{
    const auto found = proposals_.find(entry.index());
    if (found == proposals_.end())
    {
        return;
    }
    if (found->second.term == entry.term())
    {
        found->second.call->finish(outcome);
        proposals_.erase(found);
    }
}

absl::Status control_group::compact_if_due()
{
    if (!failure_.ok())
    {
        return failure_;
    }
    const auto entries = applied_ - core_->log().snapshot().index;
    if (entries == 0 || (entries < options_.snapshot_entries &&
                         bytes_since_snapshot_ < snapshot_bytes))
    {
        return absl::OkStatus();
    }
    const auto snapshot =
        core_->compact(applied_, state_.snapshot(), kept_entries());
    bytes_since_snapshot_ = 0;
    metrics_.add("control_snapshots_total");
    return store_->compact(snapshot, core_->log().base_index() + 1);
}

std::uint64_t control_group::kept_entries() const
{
    const auto& log = core_->log();
    std::uint64_t kept = 0;
    std::size_t bytes = 0;
    while (kept < options_.snapshot_entries / kept_share &&
           applied_ - kept > log.base_index())
    {
        bytes += log.at(applied_ - kept).payload().size();
        if (bytes > kept_bytes)
        {
            break;
        }
        ++kept;
    }
    return kept;
}

void control_group::fail_lost_calls()
{
    if (failure_.ok() && core_->leads() && core_->term() == calls_term_)
    {
        return;
    }
    const auto outcome = make_outcome(
        wire::command_unknown, "leadership ended before the command committed");
    for (const auto& item : proposals_)
    {
        item.second.call->finish(outcome);
    }
    proposals_.clear();
    for (const auto& item : reads_)
    {
        item.second->finish(make_outcome(wire::command_unavailable,
                                         "leadership was not confirmed"));
    }
    reads_.clear();
}

void control_group::halt(const absl::Status& status)
{
    failure_ = status;
    metrics_.add("control_log_failures_total");
    log_event(log_level::error, "control_log_failed",
              {{"reason", std::string(status.message())}});
}

void control_group::publish()
{
    const auto& log = core_->log();
    const std::lock_guard lock(view_mutex_);
    auto& members = view_->members;
    if (view_->members_index != log.members_index())
    {
        *members.mutable_members() = log.members();
        view_->members_index = log.members_index();
        // The new membership may hold newer addresses than old messages did.
        addresses_.clear();
    }
    const auto leader = failure_.ok() ? core_->leader() : 0;
    if (leader != members.leader() || core_->term() != members.term())
    {
        metrics_.set("control_term", static_cast<double>(core_->term()));
        metrics_.add("control_leader_changes_total");
        log_event(log_level::info, "control_leader",
                  {{"leader", absl::StrCat(absl::Hex(leader))},
                   {"term", absl::StrCat(core_->term())}});
    }
    members.set_leader(leader);
    members.set_term(core_->term());
    members.set_commit(core_->commit());
    view_->leads = failure_.ok() && core_->leads();
    const auto* const member = find_member(log.members(), leader);
    const auto learned = addresses_.find(leader);
    view_->leader_address = member != nullptr ? member->peer_address()
                            : learned != addresses_.end() ? learned->second
                                                          : std::string();
    metrics_.set("control_commit_index", static_cast<double>(core_->commit()));
}

} // namespace limpetstack

#include "coordination/control_group.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "coordination/consensus.hpp"
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

} // namespace

struct control_group::view
{
    wire::members_response members;
    std::uint64_t members_index = 0;
    bool leads = false;
    std::string leader_address;
    absl::Status status;
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

absl::Status control_group::status() const
{
    const std::lock_guard lock(view_mutex_);
    return view_->status;
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
    if (leader != members.leader() ||
        (leader != 0 && core_->term() != members.term()))
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
    view_->leads = failure_.ok() && core_->is_leader();
    view_->status = failure_;
    const auto* const member = find_member(log.members(), leader);
    const auto learned = addresses_.find(leader);
    view_->leader_address = member != nullptr ? member->peer_address()
                            : learned != addresses_.end() ? learned->second
                                                          : std::string();
    metrics_.set("control_commit_index", static_cast<double>(core_->commit()));
}

} // namespace limpetstack

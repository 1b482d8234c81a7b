// The part of control_group that runs on its own thread.
#include "coordination/control_group.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "coordination/consensus.hpp"
#include "coordination/consensus_driver.hpp"
#include "coordination/member_rules.hpp"
#include "coordination/pending_call.hpp"
#include "coordination/state_machine.hpp"
#include "state/log_store.hpp"

#include <absl/strings/str_cat.h>

#include <utility>

namespace limpetstack
{
namespace
{

// A snapshot is also taken after this much payload, so that large documents do
// not fill the memory.
constexpr std::uint64_t snapshot_bytes = 16U << 20U;

// Entries that a snapshot covers are kept for members that lag a little, up to
// this share of the snapshot interval and this much payload.
constexpr std::uint64_t kept_share = 4;
constexpr std::size_t kept_bytes = 4U << 20U;

} // namespace

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
        const consensus_callbacks effects{
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
                // A caller sees its own change in `members` afterwards.
                publish();
                apply_up_to(commit);
            },
            [this](const confirmed_read& read)
            {
                const auto found = reads_.find(read.read_id);
                if (found != reads_.end())
                {
                    found->second->finish(make_outcome(wire::command_accepted));
                    reads_.erase(found);
                }
            }};
        auto status = process_outputs(*core_, *store_, effects);
        if (status.ok())
        {
            status = compact_if_due();
        }
        if (!status.ok())
        {
            halt(status);
        }
    }
    publish();
    fail_lost_calls();
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
    const auto read_id = result.code == wire::command_accepted
                             ? core_->begin_read()
                             : std::nullopt;
    if (read_id)
    {
        // "No change needed" holds only while this replica really leads.
        reads_[*read_id] = call;
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
    const auto read_id = core_->begin_read();
    if (!read_id)
    {
        call->finish(make_outcome(wire::command_unavailable, "not the leader"));
        return;
    }
    calls_term_ = core_->term();
    reads_[*read_id] = call;
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
    if (failure_.ok() && core_->is_leader() && core_->term() == calls_term_)
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

} // namespace limpetstack

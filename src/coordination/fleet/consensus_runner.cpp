#include "coordination/fleet/consensus_runner.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <memory>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// A group of commands becomes one log entry. Its size is limited, so that one
// entry takes little time to send.
constexpr std::size_t max_group_bytes = 512U << 10U;
constexpr std::size_t max_group_commands = 2000;

// A snapshot is taken after this many entries, or the bytes in `log_bounds`.
// The snapshot and these limits bound the use of disk space and the time of a
// restart.
constexpr std::uint64_t entries_per_snapshot = 4000;

// This many entries before a snapshot, or the bytes in `log_bounds`, are
// retained, so that replicas that lag only slightly catch up from the log,
// without a snapshot transfer.
constexpr std::uint64_t max_retained_entries = 1000;

} // namespace

consensus_runner::consensus_runner(const consensus_options& options,
                                   const stored_log& stored,
                                   log_storage& storage, disk_queue& disk,
                                   fleet_state& state, callbacks handlers,
                                   time_point now, const log_bounds& bounds)
    : consensus_(options, stored, now)
    , storage_(storage)
    , disk_(disk)
    , state_(state)
    , callbacks_(std::move(handlers))
    , bounds_(bounds)
    , applied_index_(stored.snapshot.index)
    , snapshot_index_(stored.snapshot.index)
{
    if (!stored.snapshot.state.empty() &&
        !state_.restore(stored.snapshot.state))
    {
        failed_ = true;
        callbacks_.on_disk_error(
            absl::DataLossError("the stored snapshot can not be restored"));
    }
}

void consensus_runner::tick(time_point now)
{
    consensus_.tick(now);
    pump();
}

void consensus_runner::receive(const wire::consensus_message& message,
                               time_point now)
{
    consensus_.tick(now);
    consensus_.receive(message);
    pump();
}

void consensus_runner::propose(fleet_command command, outcome_handler done)
{
    pending_proposals_.emplace_back(std::move(command), std::move(done));
}

void consensus_runner::read(std::function<void(bool)> done)
{
    const auto read_id = consensus_.begin_read();
    if (!read_id)
    {
        done(false);
        return;
    }
    reads_term_ = consensus_.term();
    unconfirmed_reads_.emplace(*read_id, std::move(done));
}

proposal_result
consensus_runner::change_members(const wire::member_change& change)
{
    return consensus_.propose_change(change);
}

bool consensus_runner::waits_for_room() const
{
    return consensus_.is_leader() && !consensus_.has_room();
}

// Without room, proposals wait: the leader's components propose each command
// once, and count on it until they lose the leadership.
void consensus_runner::append_pending_proposals()
{
    while (!pending_proposals_.empty() && !waits_for_room())
    {
        fleet_batch batch;
        std::vector<outcome_handler> handlers;
        std::size_t bytes = 0;
        std::size_t command_count = 0;
        for (auto& [command, done] : pending_proposals_)
        {
            bytes += command.ByteSizeLong();
            if (command_count > 0 && (bytes > max_group_bytes ||
                                      command_count >= max_group_commands))
            {
                break;
            }
            *batch.add_commands() = std::move(command);
            handlers.push_back(std::move(done));
            ++command_count;
        }
        pending_proposals_.erase(
            pending_proposals_.begin(),
            pending_proposals_.begin() +
                static_cast<std::ptrdiff_t>(command_count));
        const auto result = consensus_.propose(batch.SerializeAsString());
        if (result.index == 0)
        {
            for (const auto& done : handlers)
            {
                if (done)
                {
                    done(proposal_outcome::not_leader, apply_result::refused);
                }
            }
            continue;
        }
        appended_groups_[result.index] = {consensus_.term(),
                                          std::move(handlers)};
    }
}

void consensus_runner::pump()
{
    if (pumping_)
    {
        return;
    }
    pumping_ = true;
    while (!writing_ && !failed_)
    {
        fail_lost_requests();
        append_pending_proposals();
        auto output = consensus_.take_output();
        if (empty(output))
        {
            const auto applied_before = applied_index_;
            apply_committed(output.commit);
            compact_if_due();
            // Applied commands may have caused new proposals.
            if (applied_index_ == applied_before &&
                (pending_proposals_.empty() || waits_for_room()))
            {
                break;
            }
            continue;
        }
        write_and_complete(std::move(output));
    }
    pumping_ = false;
}

void consensus_runner::write_and_complete(consensus_output output)
{
    const bool nothing_to_save =
        !output.hard && !output.snapshot && output.entries.empty();
    if (nothing_to_save)
    {
        consensus_.persisted();
        complete_output(output);
        return;
    }
    // A leader may send new entries before its own write ends: it counts its
    // own copy towards a majority only once that copy is durable.
    if (consensus_.is_leader() && !output.hard && !output.snapshot)
    {
        for (const auto& message : output.messages)
        {
            callbacks_.send(message);
        }
        output.messages.clear();
    }
    writing_ = true;
    const auto shared_output =
        std::make_shared<consensus_output>(std::move(output));
    disk_.run(
        [this, shared_output]() -> absl::Status
        {
            if (shared_output->hard)
            {
                if (auto status =
                        storage_.save_hard_state(*shared_output->hard);
                    !status.ok())
                {
                    return status;
                }
            }
            if (shared_output->snapshot)
            {
                if (auto status = storage_.install(*shared_output->snapshot);
                    !status.ok())
                {
                    return status;
                }
            }
            return shared_output->entries.empty()
                       ? absl::OkStatus()
                       : storage_.append(shared_output->entries);
        },
        [this, shared_output](const absl::Status& status)
        {
            writing_ = false;
            if (!status.ok())
            {
                failed_ = true;
                callbacks_.on_disk_error(status);
                return;
            }
            consensus_.persisted();
            complete_output(*shared_output);
            pump();
        });
}

void consensus_runner::complete_output(const consensus_output& output)
{
    for (const auto& message : output.messages)
    {
        callbacks_.send(message);
    }
    if (output.snapshot)
    {
        if (!state_.restore(output.snapshot->state))
        {
            failed_ = true;
            callbacks_.on_disk_error(absl::DataLossError(
                "the received snapshot can not be restored"));
            return;
        }
        applied_index_ = output.snapshot->index;
        snapshot_index_ = output.snapshot->index;
        bytes_since_snapshot_ = 0;
        callbacks_.on_state_restored();
    }
    apply_committed(output.commit);
    for (const auto& read : output.reads)
    {
        const auto found = unconfirmed_reads_.find(read.read_id);
        if (found == unconfirmed_reads_.end())
        {
            continue;
        }
        confirmed_reads_.emplace_back(read.index, std::move(found->second));
        unconfirmed_reads_.erase(found);
    }
    auto ready = std::exchange(confirmed_reads_, {});
    for (auto& [index, done] : ready)
    {
        if (index <= applied_index_)
        {
            done(true);
        }
        else
        {
            confirmed_reads_.emplace_back(index, std::move(done));
        }
    }
}

void consensus_runner::apply_committed(std::uint64_t commit)
{
    if (applied_index_ >= commit)
    {
        return;
    }
    while (applied_index_ < commit)
    {
        ++applied_index_;
        apply_entry(consensus_.log().at(applied_index_));
    }
    callbacks_.on_batch_applied();
    auto ready = std::exchange(confirmed_reads_, {});
    for (auto& [index, done] : ready)
    {
        if (index <= applied_index_)
        {
            done(true);
        }
        else
        {
            confirmed_reads_.emplace_back(index, std::move(done));
        }
    }
}

void consensus_runner::apply_entry(const wire::log_entry& entry)
{
    bytes_since_snapshot_ += entry.payload().size();
    auto group = appended_groups_.extract(entry.index());
    if (entry.kind() != wire::entry_command)
    {
        return;
    }
    fleet_batch batch;
    if (!batch.ParseFromString(entry.payload()))
    {
        log_event(log_level::error, "entry_unreadable",
                  {{"index", absl::StrCat(entry.index())}});
        return;
    }
    // Another leader's entry may have replaced the appended group at this
    // index.
    const bool proposed_here =
        !group.empty() && group.mapped().term == entry.term();
    for (int i = 0; i < batch.commands_size(); ++i)
    {
        const auto result = state_.apply(batch.commands(i));
        callbacks_.on_applied(batch.commands(i), result);
        if (proposed_here)
        {
            const auto& done =
                group.mapped().handlers[static_cast<std::size_t>(i)];
            if (done)
            {
                done(proposal_outcome::applied, result);
            }
        }
    }
    if (!group.empty() && !proposed_here)
    {
        for (const auto& done : group.mapped().handlers)
        {
            if (done)
            {
                done(proposal_outcome::not_leader, apply_result::refused);
            }
        }
    }
}

// Completes the proposals and reads of an earlier leadership at once: the
// outcome of a proposal is unknown, and a read fails.
void consensus_runner::fail_lost_requests()
{
    if (consensus_.is_leader() &&
        (unconfirmed_reads_.empty() || reads_term_ == consensus_.term()) &&
        (appended_groups_.empty() ||
         appended_groups_.rbegin()->second.term == consensus_.term()))
    {
        return;
    }
    const auto groups = std::exchange(appended_groups_, {});
    const auto reads = std::exchange(unconfirmed_reads_, {});
    for (const auto& [index, group] : groups)
    {
        for (const auto& done : group.handlers)
        {
            if (done)
            {
                done(proposal_outcome::unknown, apply_result::refused);
            }
        }
    }
    for (const auto& [read_id, done] : reads)
    {
        done(false);
    }
}

std::uint64_t consensus_runner::retained_entries() const
{
    const auto& log = consensus_.log();
    std::uint64_t retained = 0;
    std::size_t bytes = 0;
    while (retained < max_retained_entries &&
           applied_index_ - retained > log.base_index())
    {
        bytes += log.at(applied_index_ - retained).payload().size();
        if (bytes > bounds_.retained_bytes)
        {
            break;
        }
        ++retained;
    }
    return retained;
}

void consensus_runner::compact_if_due()
{
    if (writing_ || failed_ ||
        (applied_index_ - snapshot_index_ < entries_per_snapshot &&
         bytes_since_snapshot_ < bounds_.bytes_per_snapshot))
    {
        return;
    }
    snapshot_index_ = applied_index_;
    bytes_since_snapshot_ = 0;
    const auto snapshot = std::make_shared<log_snapshot>(consensus_.compact(
        applied_index_, state_.snapshot(), retained_entries()));
    const auto first_retained = consensus_.log().base_index() + 1;
    writing_ = true;
    disk_.run(
        [this, snapshot, first_retained]
        {
            return storage_.compact(*snapshot, first_retained);
        },
        [this](const absl::Status& status)
        {
            writing_ = false;
            if (!status.ok())
            {
                failed_ = true;
                callbacks_.on_disk_error(status);
                return;
            }
            pump();
        });
}

} // namespace limpetstack::fleet

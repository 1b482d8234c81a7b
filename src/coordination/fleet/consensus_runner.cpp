#include "coordination/fleet/consensus_runner.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <memory>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// A group is closed at this size, so that one entry stays quick to send.
constexpr std::size_t max_group_bytes = 512U << 10U;
constexpr std::size_t max_group_commands = 2000;

// A snapshot is taken after this many entries or bytes; together with the
// snapshot they bound the disk and the time of a restart.
constexpr std::uint64_t entries_per_snapshot = 4000;
constexpr std::size_t bytes_per_snapshot = 8U << 20U;

// Entries kept before the snapshot for replicas that lag a little.
constexpr std::uint64_t kept_entries = 1000;

} // namespace

consensus_runner::consensus_runner(const consensus_options& options,
                                   const stored_log& stored,
                                   log_storage& storage, disk_queue& disk,
                                   fleet_state& state, effects handlers,
                                   time_point now)
    : core_(options, stored, now)
    , storage_(storage)
    , disk_(disk)
    , state_(state)
    , effects_(std::move(handlers))
    , applied_(stored.snapshot.index)
    , compacted_(stored.snapshot.index)
{
    if (!stored.snapshot.state.empty() &&
        !state_.restore(stored.snapshot.state))
    {
        failed_ = true;
        effects_.on_disk_error(
            absl::DataLossError("the snapshot can not be read"));
    }
}

void consensus_runner::tick(time_point now)
{
    core_.tick(now);
    pump();
}

void consensus_runner::receive(const wire::consensus_message& message,
                               time_point now)
{
    core_.tick(now);
    core_.receive(message);
    pump();
}

void consensus_runner::propose(fleet_command command, outcome_handler done)
{
    waiting_.emplace_back(std::move(command), std::move(done));
}

void consensus_runner::read(std::function<void(bool)> done)
{
    const auto read_id = core_.begin_read();
    if (!read_id)
    {
        done(false);
        return;
    }
    reads_term_ = core_.term();
    reads_.emplace(*read_id, std::move(done));
}

proposal_result
consensus_runner::change_members(const wire::member_change& change)
{
    return core_.propose_change(change);
}

void consensus_runner::append_group()
{
    while (!waiting_.empty())
    {
        fleet_batch batch;
        std::vector<outcome_handler> handlers;
        std::size_t bytes = 0;
        std::size_t taken = 0;
        for (auto& [command, done] : waiting_)
        {
            bytes += command.ByteSizeLong();
            if (taken > 0 &&
                (bytes > max_group_bytes || taken >= max_group_commands))
            {
                break;
            }
            *batch.add_commands() = std::move(command);
            handlers.push_back(std::move(done));
            ++taken;
        }
        waiting_.erase(waiting_.begin(),
                       waiting_.begin() + static_cast<std::ptrdiff_t>(taken));
        const auto result = core_.propose(batch.SerializeAsString());
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
        groups_[result.index] = {core_.term(), std::move(handlers)};
    }
}

void consensus_runner::pump()
{
    if (pumping_)
    {
        return;
    }
    pumping_ = true;
    while (!saving_ && !failed_)
    {
        settle_lost();
        append_group();
        auto output = core_.take_output();
        if (empty(output))
        {
            const auto before = applied_;
            apply_committed(output.commit);
            compact_if_due();
            // Applying may have led to new proposals.
            if (applied_ == before && waiting_.empty())
            {
                break;
            }
            continue;
        }
        save(std::move(output));
    }
    pumping_ = false;
}

void consensus_runner::save(consensus_output output)
{
    const bool nothing_to_save =
        !output.hard && !output.snapshot && output.entries.empty();
    if (nothing_to_save)
    {
        core_.persisted();
        finish(output);
        return;
    }
    // A leader's appends may overtake its own disk: its copy counts only when
    // it is durable.
    if (core_.is_leader() && !output.hard && !output.snapshot)
    {
        for (const auto& message : output.messages)
        {
            effects_.send(message);
        }
        output.messages.clear();
    }
    saving_ = true;
    const auto shared = std::make_shared<consensus_output>(std::move(output));
    disk_.run(
        [this, shared]() -> absl::Status
        {
            if (shared->hard)
            {
                if (auto status = storage_.save_hard_state(*shared->hard);
                    !status.ok())
                {
                    return status;
                }
            }
            if (shared->snapshot)
            {
                if (auto status = storage_.install(*shared->snapshot);
                    !status.ok())
                {
                    return status;
                }
            }
            return shared->entries.empty() ? absl::OkStatus()
                                           : storage_.append(shared->entries);
        },
        [this, shared](const absl::Status& status)
        {
            saving_ = false;
            if (!status.ok())
            {
                failed_ = true;
                effects_.on_disk_error(status);
                return;
            }
            core_.persisted();
            finish(*shared);
            pump();
        });
}

void consensus_runner::finish(const consensus_output& output)
{
    for (const auto& message : output.messages)
    {
        effects_.send(message);
    }
    if (output.snapshot)
    {
        if (!state_.restore(output.snapshot->state))
        {
            failed_ = true;
            effects_.on_disk_error(
                absl::DataLossError("a received snapshot can not be read"));
            return;
        }
        applied_ = output.snapshot->index;
        compacted_ = output.snapshot->index;
        bytes_since_snapshot_ = 0;
        effects_.on_restored();
    }
    apply_committed(output.commit);
    for (const auto& read : output.reads)
    {
        const auto found = reads_.find(read.read_id);
        if (found == reads_.end())
        {
            continue;
        }
        confirmed_.emplace_back(read.index, std::move(found->second));
        reads_.erase(found);
    }
    auto ready = std::exchange(confirmed_, {});
    for (auto& [index, done] : ready)
    {
        if (index <= applied_)
        {
            done(true);
        }
        else
        {
            confirmed_.emplace_back(index, std::move(done));
        }
    }
}

void consensus_runner::apply_committed(std::uint64_t commit)
{
    if (applied_ >= commit)
    {
        return;
    }
    while (applied_ < commit)
    {
        ++applied_;
        apply_entry(core_.log().at(applied_));
    }
    effects_.on_batch();
    auto ready = std::exchange(confirmed_, {});
    for (auto& [index, done] : ready)
    {
        if (index <= applied_)
        {
            done(true);
        }
        else
        {
            confirmed_.emplace_back(index, std::move(done));
        }
    }
}

void consensus_runner::apply_entry(const wire::log_entry& entry)
{
    bytes_since_snapshot_ += entry.payload().size();
    auto group = groups_.extract(entry.index());
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
    const bool own = !group.empty() && group.mapped().term == entry.term();
    for (int i = 0; i < batch.commands_size(); ++i)
    {
        const auto result = state_.apply(batch.commands(i));
        effects_.on_applied(batch.commands(i), result);
        if (own)
        {
            const auto& done =
                group.mapped().handlers[static_cast<std::size_t>(i)];
            if (done)
            {
                done(proposal_outcome::applied, result);
            }
        }
    }
    if (!group.empty() && !own)
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

// Proposals and reads of a leadership that is over get their outcome at once.
void consensus_runner::settle_lost()
{
    if (core_.is_leader() && (reads_.empty() || reads_term_ == core_.term()) &&
        (groups_.empty() || groups_.rbegin()->second.term == core_.term()))
    {
        return;
    }
    const auto groups = std::exchange(groups_, {});
    const auto reads = std::exchange(reads_, {});
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

void consensus_runner::compact_if_due()
{
    if (saving_ || failed_ ||
        (applied_ - compacted_ < entries_per_snapshot &&
         bytes_since_snapshot_ < bytes_per_snapshot))
    {
        return;
    }
    compacted_ = applied_;
    bytes_since_snapshot_ = 0;
    const auto snapshot = std::make_shared<log_snapshot>(
        core_.compact(applied_, state_.snapshot(), kept_entries));
    const auto first_retained = core_.log().base_index() + 1;
    saving_ = true;
    disk_.run(
        [this, snapshot, first_retained]
        {
            return storage_.compact(*snapshot, first_retained);
        },
        [this](const absl::Status& status)
        {
            saving_ = false;
            if (!status.ok())
            {
                failed_ = true;
                effects_.on_disk_error(status);
                return;
            }
            pump();
        });
}

} // namespace limpetstack::fleet

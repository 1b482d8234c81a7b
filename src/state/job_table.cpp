#include "state/job_table.hpp"

#include "peer.pb.h"

namespace limpetstack
{
namespace
{

// Node, bucket pointer and allocation headers of one entry in
// std::unordered_map on 64-bit GNU systems.
constexpr std::size_t entry_overhead = 120;

std::size_t footprint(const std::string& id, const job_table::entry& entry)
{
    return id.capacity() + entry.bytes.capacity() + entry_overhead;
}

} // namespace

bool job_finished(const std::string& state)
{
    return state == "done" || state == "failed" || state == "cancelled" ||
           state == "refused";
}

void job_table::put(const wire::job_record& record)
{
    entry next;
    next.finished_ms = job_finished(record.state()) ? record.finished_ms() : 0;
    next.bytes = record.SerializeAsString();
    const std::lock_guard lock(mutex_);
    const auto [found, fresh] = entries_.try_emplace(record.id());
    if (!fresh)
    {
        bytes_ -= footprint(found->first, found->second);
    }
    found->second = std::move(next);
    bytes_ += footprint(found->first, found->second);
}

std::optional<wire::job_record> job_table::find(const std::string& id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(id);
    if (found == entries_.end())
    {
        return std::nullopt;
    }
    wire::job_record record;
    record.ParseFromString(found->second.bytes);
    return record;
}

std::vector<wire::job_record> job_table::all() const
{
    std::vector<wire::job_record> records;
    visit(
        [&](const std::string&, const entry& value)
        {
            records.emplace_back().ParseFromString(value.bytes);
        });
    return records;
}

void job_table::drop_finished_before(std::int64_t time_ms)
{
    const std::lock_guard lock(mutex_);
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        if (it->second.finished_ms == 0 || it->second.finished_ms >= time_ms)
        {
            ++it;
            continue;
        }
        bytes_ -= footprint(it->first, it->second);
        it = entries_.erase(it);
    }
}

void job_table::visit(
    const std::function<void(const std::string&, const entry&)>& action) const
{
    const std::lock_guard lock(mutex_);
    for (const auto& [id, value] : entries_)
    {
        action(id, value);
    }
}

std::vector<std::int64_t> job_table::finish_times() const
{
    std::vector<std::int64_t> times;
    visit(
        [&](const std::string&, const entry& value)
        {
            if (value.finished_ms != 0)
            {
                times.push_back(value.finished_ms);
            }
        });
    return times;
}

std::size_t job_table::size() const
{
    const std::lock_guard lock(mutex_);
    return entries_.size();
}

std::size_t job_table::memory_bytes() const
{
    const std::lock_guard lock(mutex_);
    return bytes_;
}

void job_table::clear()
{
    const std::lock_guard lock(mutex_);
    entries_.clear();
    bytes_ = 0;
}

} // namespace limpetstack

#include "state/request_table.hpp"

#include "peer.pb.h"
#include "state/request_id.hpp"

namespace limpetstack
{
namespace
{

// Node, bucket pointer and allocation headers of one entry in
// std::unordered_map on 64-bit GNU systems.
constexpr std::size_t entry_overhead = 128;

std::size_t footprint(const std::string& id, const request_table::entry& entry)
{
    return id.capacity() + entry.bytes.capacity() + entry_overhead;
}

} // namespace

request_table::shard& request_table::shard_of(std::string_view id) const
{
    return shards_[std::hash<std::string_view>{}(id) % shard_count];
}

void request_table::put(std::uint64_t sequence,
                        const wire::request_record& record)
{
    entry next;
    next.sequence = sequence;
    if (const auto id = parse_request_id(record.id()); id.ok())
    {
        next.issued_ms = id->issued_ms;
    }
    wire::request_record stripped = record;
    stripped.clear_id();
    next.bytes = stripped.SerializeAsString();
    auto& part = shard_of(record.id());
    const std::lock_guard lock(part.mutex);
    const auto [found, fresh] = part.entries.try_emplace(record.id());
    if (!fresh)
    {
        part.bytes -= footprint(found->first, found->second);
    }
    found->second = std::move(next);
    part.bytes += footprint(found->first, found->second);
}

std::optional<std::pair<wire::request_record, std::uint64_t>>
request_table::find(const std::string& id) const
{
    const auto& part = shard_of(id);
    const std::lock_guard lock(part.mutex);
    const auto found = part.entries.find(id);
    if (found == part.entries.end())
    {
        return std::nullopt;
    }
    std::pair<wire::request_record, std::uint64_t> result;
    result.first.ParseFromString(found->second.bytes);
    result.first.set_id(id);
    result.second = found->second.sequence;
    return result;
}

void request_table::drop_before(std::int64_t issued_ms)
{
    for (auto& part : shards_)
    {
        const std::lock_guard lock(part.mutex);
        for (auto it = part.entries.begin(); it != part.entries.end();)
        {
            if (it->second.issued_ms >= issued_ms)
            {
                ++it;
                continue;
            }
            part.bytes -= footprint(it->first, it->second);
            it = part.entries.erase(it);
        }
    }
}

void request_table::visit(
    const std::function<void(const std::string&, const entry&)>& action) const
{
    for (const auto& part : shards_)
    {
        const std::lock_guard lock(part.mutex);
        for (const auto& [id, value] : part.entries)
        {
            action(id, value);
        }
    }
}

std::vector<std::int64_t> request_table::issue_times() const
{
    std::vector<std::int64_t> times;
    visit(
        [&](const std::string&, const entry& value)
        {
            times.push_back(value.issued_ms);
        });
    return times;
}

std::size_t request_table::size() const
{
    std::size_t count = 0;
    for (const auto& part : shards_)
    {
        const std::lock_guard lock(part.mutex);
        count += part.entries.size();
    }
    return count;
}

std::size_t request_table::memory_bytes() const
{
    std::size_t bytes = 0;
    for (const auto& part : shards_)
    {
        const std::lock_guard lock(part.mutex);
        bytes += part.bytes;
    }
    return bytes;
}

void request_table::clear()
{
    for (auto& part : shards_)
    {
        const std::lock_guard lock(part.mutex);
        part.entries.clear();
        part.bytes = 0;
    }
}

} // namespace limpetstack

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpetstack::wire
{
class request_record;
} // namespace limpetstack::wire

namespace limpetstack
{

/// The newest record of every request id. Each shard has its own lock.
class request_table
{
public:
    struct entry
    {
        std::uint64_t sequence = 0; // Of the newest journal record.
        std::int64_t issued_ms = 0; // From the id.
        std::string bytes;          // Serialized record without the id.
    };

    void put(std::uint64_t sequence, const wire::request_record& record);

    /// Returns the record and its sequence, or nothing.
    std::optional<std::pair<wire::request_record, std::uint64_t>>
    find(const std::string& id) const;

    /// Drops the entries issued before a time, in milliseconds since 1970.
    void drop_before(std::int64_t issued_ms);

    /// Visits all entries, one shard at a time.
    void visit(const std::function<void(const std::string&, const entry&)>&
                   action) const;

    /// Returns the issue times of all entries, unsorted.
    std::vector<std::int64_t> issue_times() const;

    std::size_t size() const;

    /// Returns the bytes held, by keys and records, with an estimate of the
    /// containers' overhead.
    std::size_t memory_bytes() const;

    void clear();

private:
    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, entry> entries;
        std::size_t bytes = 0;
    };

    shard& shard_of(std::string_view id) const;

    static constexpr std::size_t shard_count = 16;
    mutable std::array<shard, shard_count> shards_;
};

} // namespace limpetstack

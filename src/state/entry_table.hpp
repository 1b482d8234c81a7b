#pragma once

#include "base/clock.hpp"
#include "base/hash.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace limpetstack
{

/// What an announcement did to an entry.
enum class merge_outcome
{
    stale,   // Not newer than the held entry.
    renewed, // Newer, with equal contents.
    changed  // New, or newer with other contents.
};

/// An entry as a table holds it.
template <typename Entry>
struct held_entry
{
    std::shared_ptr<const Entry> value; // Its sequence can be an older one.
    std::uint64_t sequence = 0;
    std::uint64_t contents = 0; // Hash of everything but the sequence.
    std::uint64_t id_hash = 0;  // stable_hash of the id.
    milliseconds age{0};        // Since the announcement reached a daemon.
};

/// Announced entries of one kind. Entries are sharded by id, with a lock per
/// shard; live ones are also indexed by group (service and data centre, or data
/// centre). Locks are taken in the order entry shard, contents or group shard.
template <typename Entry>
class entry_table
{
public:
    using value_ptr = std::shared_ptr<const Entry>;

    /// Returns a hash of everything but the sequence.
    using contents_function = std::function<std::uint64_t(const Entry&)>;

    /// Returns the index group, or nothing for an entry that is not live.
    using group_function =
        std::function<std::optional<std::string>(const Entry&)>;

    /// Returns how long an entry is kept after its announcement.
    using lease_function = std::function<milliseconds(const Entry&)>;

    entry_table(contents_function contents, group_function group,
                lease_function lease)
        : contents_of_(std::move(contents))
        , group_of_(std::move(group))
        , lease_of_(std::move(lease))
    {
    }

    /// Takes an entry whose announcement is `age` old, if it is newer than the
    /// held one.
    merge_outcome merge(const Entry& entry, time_point now, milliseconds age)
    {
        const auto lease = lease_of_(entry);
        if (age >= lease)
        {
            return merge_outcome::stale;
        }
        const auto contents = contents_of_(entry);
        const auto expires = now + lease - age;
        auto& part = shard_of(entry.id());
        const std::lock_guard lock(part.mutex);
        const auto found = part.records.find(entry.id());
        if (found == part.records.end())
        {
            insert(part, entry, contents, expires);
            return merge_outcome::changed;
        }
        record& held = found->second;
        const auto version =
            std::make_pair(entry.incarnation(), entry.sequence());
        const auto known =
            std::make_pair(held.value->incarnation(), held.sequence);
        if (version < known)
        {
            return merge_outcome::stale;
        }
        if (version == known)
        {
            // The same announcement over another path.
            held.expires = std::max(held.expires, expires);
            return merge_outcome::stale;
        }
        if (contents == held.contents)
        {
            held.value = std::make_shared<const Entry>(entry);
            held.sequence = entry.sequence();
            held.expires = expires;
            return merge_outcome::renewed;
        }
        remove_from_indexes(held);
        insert(part, entry, contents, expires);
        return merge_outcome::changed;
    }

    /// Renews the entry with these contents. Returns false when none is held or
    /// its sequence is not lower.
    bool renew(std::uint64_t contents, std::uint64_t sequence, time_point now)
    {
        const auto id = id_of(contents);
        if (!id)
        {
            return false;
        }
        auto& part = shard_of(*id);
        const std::lock_guard lock(part.mutex);
        const auto found = part.records.find(*id);
        if (found == part.records.end() || found->second.contents != contents ||
            found->second.sequence >= sequence)
        {
            return false;
        }
        found->second.sequence = sequence;
        found->second.expires = now + lease_of_(*found->second.value);
        return true;
    }

    /// Removes entries whose lease has run out and returns how many.
    std::size_t expire(time_point now)
    {
        std::size_t removed = 0;
        for (auto& part : shards_)
        {
            const std::lock_guard lock(part.mutex);
            for (auto i = part.records.begin(); i != part.records.end();)
            {
                if (i->second.expires > now)
                {
                    ++i;
                    continue;
                }
                remove_from_indexes(i->second);
                i = part.records.erase(i);
                ++removed;
            }
        }
        return removed;
    }

    std::optional<held_entry<Entry>> find(const std::string& id,
                                          time_point now) const
    {
        auto& part = shard_of(id);
        const std::lock_guard lock(part.mutex);
        const auto found = part.records.find(id);
        if (found == part.records.end())
        {
            return std::nullopt;
        }
        return held(found->second, now);
    }

    /// Returns the live entries of a group, by id. Contents are current; the
    /// sequence can be that of an earlier renewal.
    std::vector<value_ptr> group(const std::string& name) const
    {
        auto& part = groups_[group_shard_of(name)];
        const std::lock_guard lock(part.mutex);
        std::vector<value_ptr> out;
        const auto found = part.members.find(name);
        if (found != part.members.end())
        {
            out.reserve(found->second.size());
            for (const auto& member : found->second)
            {
                out.push_back(member.second);
            }
        }
        return out;
    }

    /// Calls `visit(held_entry)` for every entry, tombstones included. `visit`
    /// must not call this table.
    template <typename Visitor>
    void for_each(time_point now, Visitor visit) const
    {
        for (auto& part : shards_)
        {
            const std::lock_guard lock(part.mutex);
            for (const auto& entry : part.records)
            {
                visit(held(entry.second, now));
            }
        }
    }

private:
    static constexpr std::size_t shard_count = 16;

    struct record
    {
        value_ptr value;
        std::uint64_t sequence = 0;
        std::uint64_t contents = 0;
        std::uint64_t id_hash = 0;
        time_point expires;
    };

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, record> records;
    };

    struct contents_shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::uint64_t, std::string> ids;
    };

    struct group_shard
    {
        mutable std::mutex mutex;
        std::map<std::string, std::map<std::string, value_ptr>> members;
    };

    held_entry<Entry> held(const record& source, time_point now) const
    {
        const auto left = source.expires - now;
        return {source.value, source.sequence, source.contents, source.id_hash,
                std::max(milliseconds(0), lease_of_(*source.value) - left)};
    }

    shard& shard_of(const std::string& id) const
    {
        return shards_[std::hash<std::string>{}(id) % shard_count];
    }

    static std::size_t group_shard_of(const std::string& name)
    {
        return std::hash<std::string>{}(name) % shard_count;
    }

    std::optional<std::string> id_of(std::uint64_t contents) const
    {
        auto& part = contents_[contents % shard_count];
        const std::lock_guard lock(part.mutex);
        const auto found = part.ids.find(contents);
        if (found == part.ids.end())
        {
            return std::nullopt;
        }
        return found->second;
    }

    void insert(shard& part, const Entry& entry, std::uint64_t contents,
                time_point expires)
    {
        auto value = std::make_shared<const Entry>(entry);
        part.records.insert_or_assign(entry.id(),
                                      record{value, entry.sequence(), contents,
                                             stable_hash(entry.id()), expires});
        {
            auto& index = contents_[contents % shard_count];
            const std::lock_guard lock(index.mutex);
            index.ids.insert_or_assign(contents, entry.id());
        }
        if (const auto name = group_of_(entry))
        {
            auto& index = groups_[group_shard_of(*name)];
            const std::lock_guard lock(index.mutex);
            index.members[*name].insert_or_assign(entry.id(), value);
        }
    }

    void remove_from_indexes(const record& old)
    {
        {
            auto& index = contents_[old.contents % shard_count];
            const std::lock_guard lock(index.mutex);
            index.ids.erase(old.contents);
        }
        const auto name = group_of_(*old.value);
        if (!name)
        {
            return;
        }
        auto& index = groups_[group_shard_of(*name)];
        const std::lock_guard lock(index.mutex);
        const auto found = index.members.find(*name);
        if (found == index.members.end())
        {
            return;
        }
        found->second.erase(old.value->id());
        if (found->second.empty())
        {
            index.members.erase(found);
        }
    }

    contents_function contents_of_;
    group_function group_of_;
    lease_function lease_of_;
    mutable std::array<shard, shard_count> shards_;
    mutable std::array<contents_shard, shard_count> contents_;
    mutable std::array<group_shard, shard_count> groups_;
};

} // namespace limpetstack

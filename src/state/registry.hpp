#pragma once

#include "peer.pb.h"
#include "state/entry_table.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack
{

/// A host as this daemon last heard of it.
struct known_host
{
    wire::host_entry entry;
    time_point last_heard;
};

/// This daemon's copy of the soft state: announced upstreams and workers, and
/// the hosts that sent heartbeats. Calls may come from several threads.
class registry
{
public:
    using upstream_ptr = std::shared_ptr<const wire::upstream_entry>;
    using worker_ptr = std::shared_ptr<const wire::worker_entry>;

    /// Entries are kept for `lease` after their announcement, leaving upstreams
    /// for `tombstone_retention`.
    registry(milliseconds lease, milliseconds tombstone_retention);

    /// Takes an entry if its (incarnation, sequence) is higher than that of the
    /// held one. `age` is the time since the announcement reached a daemon.
    merge_outcome merge(const wire::upstream_entry& entry, time_point now,
                        milliseconds age = milliseconds(0));
    merge_outcome merge(const wire::worker_entry& entry, time_point now,
                        milliseconds age = milliseconds(0));

    /// Extends the lease of the entry with this contents hash to a full one.
    /// Returns whether such an entry with a lower sequence was held.
    bool renew(std::uint64_t contents, std::uint64_t sequence, time_point now);

    /// Records a heartbeat. Returns false when a later one was recorded before.
    bool merge(const wire::host_entry& entry, time_point now);

    /// Removes expired entries and tombstones; returns how many.
    std::size_t expire(time_point now);

    /// Returns the upstreams that take work for a service, by id.
    std::vector<upstream_ptr>
    ready_upstreams(const std::string& service,
                    const std::string& data_centre) const;

    /// Returns the workers of a data centre, by id.
    std::vector<worker_ptr> workers(const std::string& data_centre) const;

    std::optional<held_entry<wire::upstream_entry>>
    upstream(const std::string& id, time_point now) const;
    std::optional<held_entry<wire::worker_entry>> worker(const std::string& id,
                                                         time_point now) const;

    /// Returns all entries, leaving upstreams included, by id.
    std::vector<upstream_ptr> all_upstreams() const;
    std::vector<worker_ptr> all_workers() const;

    std::optional<known_host> host(const std::string& name) const;
    std::vector<known_host> hosts() const;

    /// Counts the changes to the set of upstreams, renewals excluded.
    std::uint64_t upstream_version() const { return upstream_version_; }

    /// Adds the hashes of all buckets to a digest.
    void write_buckets(wire::soft_state_digest& digest) const;

    /// Lists the versions held in `buckets`.
    void write_versions(const std::vector<std::uint32_t>& buckets,
                        time_point now, wire::soft_state_digest& digest) const;

    /// Returns what the sender of `digest` lacks: with buckets alone the
    /// differing buckets, with covered buckets the entries that are newer here,
    /// each with a renewal that carries its age.
    wire::soft_state_delta difference(const wire::soft_state_digest& digest,
                                      time_point now) const;

private:
    entry_table<wire::upstream_entry> upstreams_;
    entry_table<wire::worker_entry> workers_;
    std::atomic<std::uint64_t> upstream_version_{0};
    mutable std::mutex hosts_mutex_;
    std::map<std::string, known_host> hosts_;
};

} // namespace limpetstack

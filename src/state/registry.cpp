#include "state/registry.hpp"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace limpetstack
{
namespace
{

// With 64 buckets a changed worker among 3,000 entries makes a peer list about
// 50 versions, and the digest itself takes 512 bytes.
constexpr std::uint32_t bucket_count = 64;

template <typename Entry>
std::uint32_t bucket_of(const held_entry<Entry>& held)
{
    return static_cast<std::uint32_t>(held.id_hash % bucket_count);
}

std::uint64_t upstream_contents(const wire::upstream_entry& entry)
{
    auto contents = entry;
    contents.clear_sequence();
    return stable_hash("upstream " + contents.SerializeAsString());
}

// Usage and progress change with each report; they travel with the next change
// of the rest, since whoever renews a task's lease hears of them from the
// worker itself.
std::uint64_t worker_contents(const wire::worker_entry& entry)
{
    auto contents = entry;
    contents.clear_sequence();
    for (auto& task : *contents.mutable_tasks())
    {
        task.clear_cores_used_milli();
        task.clear_memory_used_mib();
        task.clear_progress();
    }
    return stable_hash("worker " + contents.SerializeAsString());
}

std::string upstream_group(const std::string& service,
                           const std::string& data_centre)
{
    return data_centre + '\n' + service;
}

template <typename Entry>
void add_buckets(const entry_table<Entry>& table,
                 std::vector<std::uint64_t>& buckets)
{
    table.for_each(time_point{},
                   [&](const held_entry<Entry>& held)
                   {
                       buckets[bucket_of(held)] ^= held.contents;
                   });
}

template <typename Entry>
void set_renewal(const held_entry<Entry>& held, wire::renewal& out)
{
    out.set_id(held.value->id());
    out.set_incarnation(held.value->incarnation());
    out.set_sequence(held.sequence);
    out.set_age_ms(static_cast<std::uint32_t>(held.age.count()));
}

template <typename Entry, typename Renewals>
void list_versions(const entry_table<Entry>& table,
                   const std::set<std::uint32_t>& buckets, time_point now,
                   Renewals& out)
{
    table.for_each(now,
                   [&](const held_entry<Entry>& held)
                   {
                       if (buckets.count(bucket_of(held)) > 0)
                       {
                           set_renewal(held, *out.Add());
                       }
                   });
}

template <typename Entry, typename Renewals, typename Entries>
void list_newer(const entry_table<Entry>& table,
                const std::set<std::uint32_t>& buckets, time_point now,
                const Renewals& known, Entries& entries, Renewals& ages)
{
    using version = std::pair<std::uint64_t, std::uint64_t>;
    std::unordered_map<std::string, version> versions;
    for (const auto& item : known)
    {
        versions[item.id()] = {item.incarnation(), item.sequence()};
    }
    const auto visit = [&](const held_entry<Entry>& held)
    {
        const auto found = versions.find(held.value->id());
        const version own{held.value->incarnation(), held.sequence};
        if (buckets.count(bucket_of(held)) == 0 ||
            (found != versions.end() && found->second >= own))
        {
            return;
        }
        auto& entry = *entries.Add();
        entry = *held.value;
        entry.set_sequence(held.sequence);
        set_renewal(held, *ages.Add());
    };
    table.for_each(now, visit);
}

template <typename Entry>
std::vector<std::shared_ptr<const Entry>>
sorted_entries(const entry_table<Entry>& table)
{
    std::vector<std::shared_ptr<const Entry>> out;
    table.for_each(time_point{},
                   [&](const held_entry<Entry>& held)
                   {
                       out.push_back(held.value);
                   });
    std::sort(out.begin(), out.end(),
              [](const auto& a, const auto& b)
              {
                  return a->id() < b->id();
              });
    return out;
}

std::optional<std::string> group_of_upstream(const wire::upstream_entry& entry)
{
    if (entry.state() != wire::upstream_ready)
    {
        return std::nullopt;
    }
    return upstream_group(entry.service(), entry.data_centre());
}

std::optional<std::string> group_of_worker(const wire::worker_entry& entry)
{
    return entry.data_centre();
}

} // namespace

registry::registry(milliseconds lease, milliseconds tombstone_retention)
    : upstreams_(upstream_contents, group_of_upstream,
                 [lease, tombstone_retention](const wire::upstream_entry& entry)
                 {
                     return entry.state() == wire::upstream_ready
                                ? lease
                                : tombstone_retention;
                 })
    , workers_(worker_contents, group_of_worker,
               [lease](const wire::worker_entry&)
               {
                   return lease;
               })
{
}

merge_outcome registry::merge(const wire::upstream_entry& entry, time_point now,
                              milliseconds age)
{
    const auto outcome = upstreams_.merge(entry, now, age);
    if (outcome == merge_outcome::changed)
    {
        ++upstream_version_;
    }
    return outcome;
}

merge_outcome registry::merge(const wire::worker_entry& entry, time_point now,
                              milliseconds age)
{
    return workers_.merge(entry, now, age);
}

bool registry::renew(std::uint64_t contents, std::uint64_t sequence,
                     time_point now)
{
    return upstreams_.renew(contents, sequence, now) ||
           workers_.renew(contents, sequence, now);
}

bool registry::merge(const wire::host_entry& entry, time_point now)
{
    const std::lock_guard lock(hosts_mutex_);
    const auto found = hosts_.find(entry.host());
    if (found != hosts_.end())
    {
        const auto& held = found->second.entry;
        if (std::make_pair(entry.incarnation(), entry.sequence()) <=
            std::make_pair(held.incarnation(), held.sequence()))
        {
            return false;
        }
    }
    hosts_.insert_or_assign(entry.host(), known_host{entry, now});
    return true;
}

std::size_t registry::expire(time_point now)
{
    const auto removed = upstreams_.expire(now);
    if (removed > 0)
    {
        ++upstream_version_;
    }
    return removed + workers_.expire(now);
}

std::vector<registry::upstream_ptr>
registry::ready_upstreams(const std::string& service,
                          const std::string& data_centre) const
{
    return upstreams_.group(upstream_group(service, data_centre));
}

std::vector<registry::worker_ptr>
registry::workers(const std::string& data_centre) const
{
    return workers_.group(data_centre);
}

std::optional<held_entry<wire::upstream_entry>>
registry::upstream(const std::string& id, time_point now) const
{
    return upstreams_.find(id, now);
}

std::optional<held_entry<wire::worker_entry>>
registry::worker(const std::string& id, time_point now) const
{
    return workers_.find(id, now);
}

std::vector<registry::upstream_ptr> registry::all_upstreams() const
{
    return sorted_entries(upstreams_);
}

std::vector<registry::worker_ptr> registry::all_workers() const
{
    return sorted_entries(workers_);
}

std::optional<known_host> registry::host(const std::string& name) const
{
    const std::lock_guard lock(hosts_mutex_);
    const auto found = hosts_.find(name);
    if (found == hosts_.end())
    {
        return std::nullopt;
    }
    return found->second;
}

std::vector<known_host> registry::hosts() const
{
    const std::lock_guard lock(hosts_mutex_);
    std::vector<known_host> out;
    out.reserve(hosts_.size());
    for (const auto& item : hosts_)
    {
        out.push_back(item.second);
    }
    return out;
}

void registry::write_buckets(wire::soft_state_digest& digest) const
{
    std::vector<std::uint64_t> buckets(bucket_count, 0);
    add_buckets(upstreams_, buckets);
    add_buckets(workers_, buckets);
    for (const auto bucket : buckets)
    {
        digest.add_buckets(bucket);
    }
}

void registry::write_versions(const std::vector<std::uint32_t>& buckets,
                              time_point now,
                              wire::soft_state_digest& digest) const
{
    const std::set<std::uint32_t> wanted(buckets.begin(), buckets.end());
    for (const auto bucket : wanted)
    {
        digest.add_covered(bucket);
    }
    list_versions(upstreams_, wanted, now, *digest.mutable_upstreams());
    list_versions(workers_, wanted, now, *digest.mutable_workers());
}

wire::soft_state_delta
registry::difference(const wire::soft_state_digest& digest,
                     time_point now) const
{
    wire::soft_state_delta out;
    const std::set<std::uint32_t> covered(digest.covered().begin(),
                                          digest.covered().end());
    if (!covered.empty())
    {
        list_newer(upstreams_, covered, now, digest.upstreams(),
                   *out.mutable_upstreams(), *out.mutable_upstream_renewals());
        list_newer(workers_, covered, now, digest.workers(),
                   *out.mutable_workers(), *out.mutable_worker_renewals());
        return out;
    }
    wire::soft_state_digest own;
    write_buckets(own);
    for (int i = 0; i < own.buckets_size(); ++i)
    {
        if (i >= digest.buckets_size() || digest.buckets(i) != own.buckets(i))
        {
            out.add_differing(static_cast<std::uint32_t>(i));
        }
    }
    return out;
}

} // namespace limpetstack

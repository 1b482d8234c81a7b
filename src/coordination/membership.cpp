#include "coordination/membership.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "coordination/peer_network.hpp"
#include "peer.pb.h"
#include "state/registry.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace limpetstack
{
namespace
{

// Four heartbeats fit into one host timeout, so that three lost ones in a row
// do not make a host count as down.
constexpr int beats_per_timeout = 4;

// An entry's renewals are forwarded at most five times in two leases; the rest
// would exceed the bandwidth bound at 3,000 entries.
constexpr double forward_fraction = 0.4;

constexpr milliseconds exchange_timeout{500};

constexpr std::uint32_t max_slots = 4096;
constexpr std::size_t max_id_length = 128;

bool usable_id(const std::string& id)
{
    return !id.empty() && id.size() <= max_id_length;
}

template <typename Entry>
void add_entry(const held_entry<Entry>& held, Entry& out)
{
    out = *held.value;
    out.set_sequence(held.sequence);
}

milliseconds beat_interval(const settings& own)
{
    return std::min(milliseconds(500),
                    own.timing.host_timeout / beats_per_timeout);
}

template <typename Renewals>
std::unordered_map<std::string, milliseconds> ages_of(const Renewals& renewals)
{
    std::unordered_map<std::string, milliseconds> out;
    for (const auto& item : renewals)
    {
        out[item.id()] = milliseconds(item.age_ms());
    }
    return out;
}

milliseconds age_of(const std::unordered_map<std::string, milliseconds>& ages,
                    const std::string& id)
{
    const auto found = ages.find(id);
    return found == ages.end() ? milliseconds(0) : found->second;
}

} // namespace

membership::membership(const settings& own, registry& state,
                       peer_network& network, timer_service& timers,
                       metrics& counters, describe_function describe,
                       std::uint64_t incarnation, std::uint64_t seed)
    : settings_(own)
    , registry_(state)
    , network_(network)
    , timers_(timers)
    , metrics_(counters)
    , describe_(std::move(describe))
    , incarnation_(incarnation)
    , random_(seed)
    , started_(timers.now())
{
    centres_[own.host] = own.data_centre;
    for (const auto& peer : own.peers)
    {
        if (peer.host != own.host)
        {
            centres_[peer.host] = peer.data_centre;
            logged_live_[peer.host] = true;
        }
    }
}

membership::~membership()
{
    stop();
}

void membership::start()
{
    {
        const std::lock_guard lock(mutex_);
        started_ = timers_.now();
    }
    spread(timers_.now(), true);
    subscriptions_.push_back(timers_.every(settings_.timing.spread_interval,
                                           [this](time_point now)
                                           {
                                               tick(now);
                                           }));
    subscriptions_.push_back(timers_.every(settings_.timing.digest_interval,
                                           [this](time_point now)
                                           {
                                               repair(now);
                                           }));
}

void membership::stop()
{
    subscriptions_.clear();
}

bool membership::announce(const wire::upstream_entry& entry)
{
    if (!usable_id(entry.id()) || entry.service().empty() ||
        entry.data_centre().empty() || entry.address().empty() ||
        entry.slots() > max_slots)
    {
        metrics_.add("announcements_total{kind=\"upstream\",result=\"bad\"}");
        return false;
    }
    const auto now = timers_.now();
    const auto outcome = registry_.merge(entry, now);
    if (outcome == merge_outcome::stale)
    {
        const auto held = registry_.upstream(entry.id(), now);
        return held && held->value->incarnation() == entry.incarnation() &&
               held->sequence == entry.sequence();
    }
    metrics_.add("announcements_total{kind=\"upstream\",result=\"taken\"}");
    {
        const std::lock_guard lock(mutex_);
        if (outcome == merge_outcome::changed)
        {
            pending_.upstreams.insert(entry.id());
        }
        else if (forward_renewal("u" + entry.id(), now))
        {
            pending_.renewed_upstreams.insert(entry.id());
        }
    }
    if (outcome == merge_outcome::changed &&
        entry.state() == wire::upstream_leaving)
    {
        // The confirmation that follows starts the drain bound.
        log_event(log_level::info, "upstream_leaving",
                  {{"upstream", entry.id()}});
        spread(now, false);
    }
    return true;
}

bool membership::announce(const wire::worker_entry& entry)
{
    if (!usable_id(entry.id()) || entry.data_centre().empty() ||
        entry.address().empty())
    {
        metrics_.add("announcements_total{kind=\"worker\",result=\"bad\"}");
        return false;
    }
    const auto now = timers_.now();
    const auto outcome = registry_.merge(entry, now);
    if (outcome == merge_outcome::stale)
    {
        const auto held = registry_.worker(entry.id(), now);
        return held && held->value->incarnation() == entry.incarnation() &&
               held->sequence == entry.sequence();
    }
    metrics_.add("announcements_total{kind=\"worker\",result=\"taken\"}");
    const std::lock_guard lock(mutex_);
    if (outcome == merge_outcome::changed)
    {
        pending_.workers.insert(entry.id());
    }
    else if (forward_renewal("w" + entry.id(), now))
    {
        pending_.renewed_workers.insert(entry.id());
    }
    return true;
}

// Returns whether a renewal is due for the peers. The caller holds the lock.
bool membership::forward_renewal(const std::string& key, time_point now)
{
    const milliseconds interval(static_cast<std::int64_t>(
        forward_fraction *
        static_cast<double>(settings_.timing.announcement_lease.count())));
    const auto found = forwarded_.find(key);
    if (found != forwarded_.end() && now - found->second < interval)
    {
        return false;
    }
    forwarded_[key] = now;
    return true;
}

void membership::receive(const wire::soft_state_delta& delta)
{
    const auto now = timers_.now();
    hear(delta.from(), now);
    merge_entries(delta, now);
}

void membership::merge_entries(const wire::soft_state_delta& delta,
                               time_point now)
{
    const auto upstream_ages = ages_of(delta.upstream_renewals());
    for (const auto& entry : delta.upstreams())
    {
        const auto outcome =
            registry_.merge(entry, now, age_of(upstream_ages, entry.id()));
        if (outcome == merge_outcome::changed &&
            entry.state() == wire::upstream_leaving)
        {
            // Passed on once by each daemon, so that it spreads within the
            // drain bound even when its first host is gone and batches get
            // lost.
            const std::lock_guard lock(mutex_);
            pending_.upstreams.insert(entry.id());
        }
    }
    const auto worker_ages = ages_of(delta.worker_renewals());
    for (const auto& entry : delta.workers())
    {
        registry_.merge(entry, now, age_of(worker_ages, entry.id()));
    }
    const auto renewed =
        std::min(delta.renewed_size(), delta.renewed_sequences_size());
    for (int i = 0; i < renewed; ++i)
    {
        registry_.renew(delta.renewed(i), delta.renewed_sequences(i), now);
    }
}

void membership::hear(const wire::host_entry& entry, time_point now)
{
    const auto known = centres_.find(entry.host());
    if (known == centres_.end() || entry.host() == settings_.host)
    {
        metrics_.add("soft_state_foreign_messages_total");
        return;
    }
    auto heard = entry;
    heard.set_data_centre(known->second);
    registry_.merge(heard, now);
}

wire::soft_state_delta
membership::exchange(const wire::soft_state_digest& digest)
{
    const auto now = timers_.now();
    hear(digest.from(), now);
    auto out = registry_.difference(digest, now);
    *out.mutable_from() = own_entry();
    return out;
}

wire::host_entry membership::own_entry()
{
    wire::host_entry out;
    out.set_host(settings_.host);
    out.set_incarnation(incarnation_);
    out.set_has_disk(!settings_.data_folder.empty());
    if (describe_)
    {
        describe_(out);
    }
    const std::lock_guard lock(mutex_);
    out.set_sequence(++sequence_);
    out.set_draining(draining_);
    return out;
}

void membership::tick(time_point now)
{
    const auto removed = registry_.expire(now);
    if (removed > 0)
    {
        metrics_.add("soft_state_expired_total", removed);
    }
    bool beat = false;
    {
        const std::lock_guard lock(mutex_);
        // Rounded to whole ticks: a beat must not wait one tick longer than
        // its interval.
        beat = now + settings_.timing.spread_interval - last_beat_ >
               beat_interval(settings_);
        if (now - last_sweep_ > settings_.timing.announcement_lease)
        {
            last_sweep_ = now;
            for (auto i = forwarded_.begin(); i != forwarded_.end();)
            {
                const bool old =
                    now - i->second > settings_.timing.announcement_lease;
                i = old ? forwarded_.erase(i) : std::next(i);
            }
        }
    }
    spread(now, beat);
    log_liveness(now);
}

// Sends the pending changes, and with `beat` the renewals and a heartbeat.
void membership::spread(time_point now, bool beat)
{
    pending batch;
    {
        const std::lock_guard lock(mutex_);
        batch.upstreams.swap(pending_.upstreams);
        batch.workers.swap(pending_.workers);
        if (beat)
        {
            last_beat_ = now;
            batch.renewed_upstreams.swap(pending_.renewed_upstreams);
            batch.renewed_workers.swap(pending_.renewed_workers);
        }
    }
    if (!beat && batch.upstreams.empty() && batch.workers.empty())
    {
        return;
    }
    wire::soft_state_delta delta;
    *delta.mutable_from() = own_entry();
    const auto add_renewal = [&delta](const auto& held)
    {
        delta.add_renewed(held->contents);
        delta.add_renewed_sequences(held->sequence);
    };
    for (const auto& id : batch.upstreams)
    {
        if (const auto held = registry_.upstream(id, now))
        {
            add_entry(*held, *delta.add_upstreams());
        }
    }
    for (const auto& id : batch.workers)
    {
        if (const auto held = registry_.worker(id, now))
        {
            add_entry(*held, *delta.add_workers());
        }
    }
    for (const auto& id : batch.renewed_upstreams)
    {
        if (const auto held = registry_.upstream(id, now))
        {
            add_renewal(held);
        }
    }
    for (const auto& id : batch.renewed_workers)
    {
        if (const auto held = registry_.worker(id, now))
        {
            add_renewal(held);
        }
    }
    send(delta);
}

void membership::send(const wire::soft_state_delta& delta)
{
    for (const auto& peer : centres_)
    {
        // A peer that is down gets them too: it may hear us while we can not
        // hear it, and it learns of the changes at once when it returns.
        if (peer.first != settings_.host)
        {
            network_.push(peer.first, delta);
            metrics_.add("soft_state_batches_sent_total");
        }
    }
}

void membership::repair(time_point now)
{
    std::vector<std::string> peers;
    for (const auto& peer : centres_)
    {
        if (peer.first != settings_.host && heard_recently(peer.first, now))
        {
            peers.push_back(peer.first);
        }
    }
    if (peers.empty())
    {
        return;
    }
    std::size_t index = 0;
    {
        const std::lock_guard lock(mutex_);
        index = std::uniform_int_distribution<std::size_t>(0, peers.size() -
                                                                  1)(random_);
    }
    if (!pull(peers[index], now))
    {
        metrics_.add("soft_state_exchange_failures_total");
    }
}

// Fetches from one peer what this daemon lacks.
bool membership::pull(const std::string& peer, time_point now)
{
    wire::soft_state_digest summary;
    *summary.mutable_from() = own_entry();
    registry_.write_buckets(summary);
    const auto differing = network_.exchange(peer, summary, exchange_timeout);
    if (!differing.ok())
    {
        return false;
    }
    hear(differing->from(), now);
    if (differing->differing().empty())
    {
        return true;
    }
    wire::soft_state_digest versions;
    *versions.mutable_from() = own_entry();
    registry_.write_versions(
        {differing->differing().begin(), differing->differing().end()}, now,
        versions);
    const auto missing = network_.exchange(peer, versions, exchange_timeout);
    if (!missing.ok())
    {
        return false;
    }
    const auto repaired = missing->upstreams_size() + missing->workers_size();
    metrics_.add("soft_state_repaired_total",
                 static_cast<std::uint64_t>(repaired));
    hear(missing->from(), timers_.now());
    merge_entries(*missing, timers_.now());
    return true;
}

} // namespace limpetstack

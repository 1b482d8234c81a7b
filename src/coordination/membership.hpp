#pragma once

#include "base/timer_service.hpp"
#include "limpetstack/settings.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::wire
{
class host_entry;
class soft_state_delta;
class soft_state_digest;
class upstream_entry;
class worker_entry;
} // namespace limpetstack::wire

namespace limpetstack
{

class metrics;
class peer_network;
class registry;

/// Knows which hosts are live and spreads the soft state between daemons.
/// Changes go to all peers within the spread interval, renewals and heartbeats
/// within half a second, and a digest exchange with a random peer repairs what
/// got lost. Calls may come from several threads.
class membership
{
public:
    /// Fills in what this host's heartbeats say beside its name and liveness.
    using describe_function = std::function<void(wire::host_entry&)>;

    membership(const settings& own, registry& state, peer_network& network,
               timer_service& timers, metrics& counters,
               describe_function describe, std::uint64_t incarnation,
               std::uint64_t seed);
    ~membership();
    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    /// Subscribes to the timers. Peers count as live for one host timeout from
    /// here on.
    void start();

    /// Cancels the timers; waits for callbacks that run.
    void stop();

    /// Takes an announcement from the local HTTP listener. Returns false for
    /// one that is malformed or older than the held entry; a repeated one is
    /// accepted. A leaving upstream is pushed to the peers before this returns.
    bool announce(const wire::upstream_entry& entry);
    bool announce(const wire::worker_entry& entry);

    /// Takes a batch of a peer.
    void receive(const wire::soft_state_delta& delta);

    /// Answers a peer's digest.
    wire::soft_state_delta exchange(const wire::soft_state_digest& digest);

    /// Returns the live hosts of a data centre in alphabetical order, this host
    /// included.
    std::vector<std::string> live_hosts(const std::string& data_centre) const;
    bool is_live(const std::string& host) const;

    /// True for a host that is live but hands its work over.
    bool is_draining(const std::string& host) const;

    /// Takes this host out of the choice of dispatchers and tells the peers.
    void set_draining();

    /// Returns the host that dispatches a service in a data centre: the one
    /// with the highest rendezvous hash among live hosts that are not draining,
    /// or among all live ones when all are draining. Empty when none is live.
    std::string dispatcher_host(const std::string& data_centre,
                                const std::string& service) const;

private:
    struct pending
    {
        std::set<std::string> upstreams; // Changed.
        std::set<std::string> workers;
        std::set<std::string> renewed_upstreams;
        std::set<std::string> renewed_workers;
    };

    void tick(time_point now);
    void spread(time_point now, bool beat);
    void send(const wire::soft_state_delta& delta);
    void repair(time_point now);
    bool pull(const std::string& peer, time_point now);
    void merge_entries(const wire::soft_state_delta& delta, time_point now);
    void hear(const wire::host_entry& entry, time_point now);
    void log_liveness(time_point now);
    wire::host_entry own_entry();
    bool heard_recently(const std::string& host, time_point now) const;
    bool forward_renewal(const std::string& key, time_point now);

    const settings settings_;
    registry& registry_;
    peer_network& network_;
    timer_service& timers_;
    metrics& metrics_;
    describe_function describe_;
    const std::uint64_t incarnation_;
    std::map<std::string, std::string> centres_; // Data centre of each host.

    mutable std::mutex mutex_;
    pending pending_;
    std::map<std::string, time_point> forwarded_;
    std::map<std::string, bool> logged_live_;
    std::mt19937_64 random_;
    std::uint64_t sequence_ = 0;
    time_point started_{};
    time_point last_beat_{};
    time_point last_sweep_{};
    bool draining_ = false;

    std::vector<timer_subscription> subscriptions_;
};

} // namespace limpetstack

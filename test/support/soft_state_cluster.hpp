#pragma once

#include "base/manual_timer_service.hpp"
#include "base/metrics.hpp"
#include "coordination/membership.hpp"
#include "limpetstack/settings.hpp"
#include "peer.pb.h"
#include "state/registry.hpp"
#include "support/unreachable_network.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limpetstack
{

/// Daemons' soft state on one manual clock, over a network that loses messages.
/// Hosts are h0, h1, ... and take the data centres dc0, dc1, ... in turn.
class soft_state_cluster
{
public:
    struct host
    {
        settings own;
        std::unique_ptr<registry> state;
        std::unique_ptr<peer_network> network;
        std::unique_ptr<membership> hosts;
        bool up = false;
        std::uint64_t sent_bytes = 0;
        std::uint64_t received_bytes = 0;
    };

    soft_state_cluster(int hosts, int data_centres, std::uint64_t seed);
    ~soft_state_cluster();

    /// Sets the share of messages and of calls that get lost.
    void set_lost(double share) { lost_ = share; }

    void kill(int index);

    /// Starts a host with empty soft state.
    void start(int index);

    /// Cuts a host off from all others, or ends that.
    void isolate(int index, bool cut);

    void run(milliseconds time) { timers.advance(time); }

    host& at(int index) { return hosts_[static_cast<std::size_t>(index)]; }
    int size() const { return static_cast<int>(hosts_.size()); }
    int random_below(int bound);

    manual_timer_service timers;
    metrics counters;

private:
    class link;

    bool passes(const std::string& from, const std::string& to);
    host* find(const std::string& name);

    std::vector<host> hosts_;
    std::set<std::string> isolated_;
    std::mt19937_64 random_;
    double lost_ = 0;
    std::uint64_t incarnation_ = 0;
};

/// Returns a ready upstream of the service `check` with 8 slots.
wire::upstream_entry make_upstream(const std::string& id,
                                   const std::string& data_centre,
                                   std::uint64_t sequence = 1);

/// Returns a worker with 8 accelerators.
wire::worker_entry make_worker(const std::string& id,
                               const std::string& data_centre,
                               std::uint64_t sequence = 1);

} // namespace limpetstack

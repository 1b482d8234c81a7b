#pragma once

#include "coordination/consensus.hpp"
#include "support/memory_log_storage.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack
{

/// Replicas with a manual clock and an in-memory network that loses, delays,
/// repeats and reorders messages. It checks after every step that a term has
/// one leader, that an identity votes once in a term, that applied prefixes
/// agree and that confirmed reads are current; the first violation is kept.
class consensus_cluster
{
public:
    struct host
    {
        std::uint64_t id = 0;
        bool up = false;
        bool isolated = false;
        std::uint64_t applied = 0;
        std::string state; // Chained hash of the applied entries.
        memory_log_storage disk;
        std::unique_ptr<consensus> core;
    };

    /// The first host founds the group; the others wait to be added.
    consensus_cluster(int hosts, std::uint64_t seed);

    /// Sets the network's faults: shares of lost and repeated messages, and
    /// the longest delay.
    void set_network(double lost, double repeated, milliseconds delay);

    /// Advances the clock in small steps.
    void run(milliseconds duration);

    /// Runs until every host is a voter that has applied everything; false if
    /// that takes longer than `limit`.
    bool run_until_whole(milliseconds limit);

    void crash(int index);
    void start(int index);
    void erase(int index); // Loses the disk; the host returns as a new member.
    void heal();           // Ends every fault and starts every host.

    /// Returns the leader of the newest term, -1 when there is none.
    int leader() const;
    bool propose(const std::string& text);

    /// Starts a read on a host; its ticket appears in `confirmed`.
    std::optional<std::uint64_t> begin_read(int index);
    const std::set<std::pair<int, std::uint64_t>>& confirmed() const
    {
        return confirmed_;
    }

    bool whole() const;
    std::uint64_t committed() const { return states_.size(); }
    host& at(int index) { return hosts_[static_cast<std::size_t>(index)]; }
    int size() const { return static_cast<int>(hosts_.size()); }
    std::uint64_t random(std::uint64_t bound) { return random_() % bound; }
    const std::string& violation() const { return violation_; }

    /// Admission of new identities, on by default.
    bool admits = true;

private:
    static int host_of(std::uint64_t id);
    void step();
    void flush(int index);
    void send(int from, const wire::consensus_message& message);
    void apply(host& target, std::uint64_t commit);
    void check_votes(const wire::consensus_message& message);
    void compact(int index);
    void admit(int index);
    void report(const std::string& text);

    std::mt19937_64 random_;
    time_point now_{};
    double lost_ = 0;
    double repeated_ = 0;
    milliseconds delay_{2};
    std::deque<host> hosts_;
    std::multimap<time_point, wire::consensus_message> network_;
    std::map<std::uint64_t, std::uint64_t> leaders_; // By term.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> votes_;
    std::map<std::uint64_t, std::string> states_; // By applied index.
    std::map<std::pair<int, std::uint64_t>, std::uint64_t> reads_;
    std::set<std::pair<int, std::uint64_t>> confirmed_;
    std::string violation_;
};

} // namespace limpetstack

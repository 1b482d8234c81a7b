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

/// A test cluster of replicas with a manual clock and an in-memory network that
/// loses, delays, repeats and reorders messages. It checks after every step
/// that a term has one leader, that an identity votes once in a term, that the
/// replicas agree on every applied entry, and that confirmed reads are current.
/// It records the first violation.
class consensus_cluster
{
public:
    struct host
    {
        std::uint64_t id = 0;
        bool up = false;
        bool isolated = false;
        std::uint64_t applied = 0;
        std::string state; // Chained hash of all applied entries.
        memory_log_storage disk;
        std::unique_ptr<consensus> protocol;
    };

    /// Starts the hosts. The first one founds the group; the others wait to be
    /// added to it.
    consensus_cluster(int hosts, std::uint64_t seed);

    /// Sets the probabilities that the network loses or repeats a message, and
    /// the longest delay of a message.
    void set_network_faults(double loss_probability, double repeat_probability,
                            milliseconds max_delay);

    /// Delays all messages from one host to another by `delay`, which may be
    /// longer than any timeout. Without a delay they are lost.
    void set_link(int from, int to, std::optional<milliseconds> delay);

    /// Advances the clock by `duration` in small steps.
    void run(milliseconds duration);

    /// Runs until `has_converged` returns true. Returns false if that takes
    /// longer than `limit`.
    bool run_until_converged(milliseconds limit);

    void crash(int index);
    void start(int index);

    /// Erases the disk of a host and starts the host with a new identity.
    void erase_disk(int index);
    void clear_faults(); // Ends every fault and starts every stopped host.

    /// Returns the index of the host that leads the newest term, or -1 when no
    /// host leads.
    int leader() const;

    /// Proposes a command to the leader; returns true when it was appended.
    bool propose(const std::string& text);

    /// Starts a read on a host. Its identifier appears in `confirmed_reads`
    /// once a majority has confirmed it.
    std::optional<std::uint64_t> begin_read(int index);
    const std::set<std::pair<int, std::uint64_t>>& confirmed_reads() const
    {
        return confirmed_reads_;
    }

    /// Returns true when every host is a voter and has applied the whole log of
    /// the leader.
    bool has_converged() const;

    /// Returns the highest index that any host has applied.
    std::uint64_t committed() const { return state_by_index_.size(); }
    host& at(int index) { return hosts_[static_cast<std::size_t>(index)]; }
    int size() const { return static_cast<int>(hosts_.size()); }
    std::uint64_t random(std::uint64_t bound) { return random_() % bound; }
    const std::string& violation() const { return violation_; }
    time_point now() const { return now_; }

    /// Enables the admission of new identities to the group.
    bool admission_enabled = true;

private:
    static int host_of(std::uint64_t id);
    void step();
    void process_host_outputs(int index);
    void send(int from, const wire::consensus_message& message);
    void apply(host& target, std::uint64_t commit);
    void check_votes(const wire::consensus_message& message);
    void compact(int index);
    void admit(int index);
    void record_violation(const std::string& text);

    std::mt19937_64 random_;
    time_point now_{};
    double loss_probability_ = 0;
    double repeat_probability_ = 0;
    milliseconds max_delay_{2};
    std::map<std::pair<int, int>, std::optional<milliseconds>> links_;
    std::deque<host> hosts_;
    // The messages that are not delivered yet, by time of delivery.
    std::multimap<time_point, wire::consensus_message> messages_in_flight_;
    std::map<std::uint64_t, std::uint64_t> leader_by_term_;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t>
        votes_by_term_and_voter_;
    std::map<std::uint64_t, std::string> state_by_index_;
    // The index that was committed when a read began, by host and read
    // identifier.
    std::map<std::pair<int, std::uint64_t>, std::uint64_t> read_indexes_;
    std::set<std::pair<int, std::uint64_t>> confirmed_reads_;
    std::string violation_;
};

} // namespace limpetstack

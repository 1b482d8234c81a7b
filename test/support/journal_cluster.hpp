#pragma once

#include "base/metrics.hpp"
#include "coordination/journal_replicator.hpp"
#include "coordination/ownership.hpp"
#include "support/fake_journal_store.hpp"
#include "support/fake_peer_network.hpp"
#include "support/history_checker.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limpetstack
{

struct cluster_options
{
    std::uint64_t seed = 0;
    std::vector<bool> disks = {true, false, false}; // One entry per host.
    /// A further fault only when the journal has two complete hosts again.
    bool one_fault_at_a_time = false;
    /// Finished requests are dropped after seconds, so that runs meet it.
    bool short_retention = false;
    int drop_percent = 5;  // Of requests, and again of responses.
    int delay_percent = 3; // Delivered later although the sender gave up.
    bool events_in_messages = true; // Others act while a message is under way.
};

/// Hosts of one data centre with the real journal_replicator and ownership, on
/// one thread: the network, the clock, the disks and the control log are fakes.
/// While a message is under way other hosts may act, fail or learn of records.
class journal_cluster
{
public:
    explicit journal_cluster(const cluster_options& options);
    ~journal_cluster();

    /// Runs random events: callers, timers, faults and the control leader.
    void run(int steps);

    /// Ends all faults, waits for repair, and asks for every id's phase.
    /// Returns the ids whose phase is not known then.
    std::vector<std::string> settle();

    // Single actions, for tests that set up one case.
    void crash(std::size_t host, bool erase_disk = false);
    void restart(std::size_t host);
    void cut(std::size_t a, std::size_t b, bool apart);
    void cut_control(std::size_t host, bool apart);
    void advance(milliseconds step);
    wire::transition_response call(std::size_t host, const std::string& id,
                                   wire::request_phase phase);

    /// Returns a copy of what the host's disk holds, or puts it there while the
    /// host is down.
    fake_disk disk(std::size_t host) const;
    void set_disk(std::size_t host, const fake_disk& content);

    journal_replicator* node(std::size_t host);
    std::size_t owner() const; // Index of the recorded owner.
    std::size_t copy() const;  // Index of the recorded copy, size() for none.
    std::size_t size() const { return hosts_.size(); }
    const wire::owner_record& record() const { return record_; }
    std::string new_id();
    bool repaired() const;
    const std::vector<history_call>& history() const { return history_; }

private:
    struct host;
    class clock;

    void step();
    void fault();
    void control_round();
    void learn(std::size_t index);
    void random_call();
    void tick(std::size_t index);
    void deliver_late();
    std::size_t index_of(const std::string& name) const;
    std::size_t random(std::size_t bound);
    bool chance(int percent);
    absl::StatusOr<wire::journal_append_response>
    carry(std::size_t from, const std::shared_ptr<bool>& alive,
          const std::string& to, const wire::journal_append& message,
          milliseconds timeout);

    cluster_options options_;
    std::mt19937_64 random_;
    std::unique_ptr<clock> clock_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::vector<std::pair<std::unique_ptr<fake_peer_network>,
                          std::unique_ptr<journal_replicator>>>
        crashed_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::vector<std::pair<std::string, wire::journal_append>> late_;
    ownership ownership_;
    wire::owner_record record_;
    std::vector<std::string> ids_;
    std::vector<history_call> history_;
    metrics counters_;
    std::uint64_t order_ = 0;
    std::uint64_t issued_ = 0;
    int depth_ = 0;
    bool settling_ = false;
};

} // namespace limpetstack

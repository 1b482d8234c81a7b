#pragma once

#include "base/timer_service.hpp"
#include "coordination/journal_copy.hpp"
#include "coordination/journal_sender.hpp"
#include "coordination/owned_journal.hpp"
#include "peer.pb.h"
#include "state/journal_retention.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace limpetstack
{

struct id_rules;

struct journal_replicator_options
{
    std::string host;
    std::string data_centre;

    /// Records in one message to the copy. A record may exceed it; the whole
    /// stays below the 4 MiB that a gRPC message may have by default.
    std::size_t message_bytes = 1U << 20U;
    milliseconds append_timeout{300}; // Each message to the copy.
    /// A write fails, and the copy counts as lost, after this time without an
    /// acknowledgement.
    milliseconds copy_timeout{1000};
    milliseconds retry_pause{20};
    milliseconds tick_interval{200};
    milliseconds retention_interval{10000};

    retention_limits request_retention;
    retention_limits job_retention;
    std::size_t max_request_bytes = 64U << 20U; // Memory of all requests.
    milliseconds max_clock_skew{300000}; // Between hosts of a data centre.

    std::function<std::int64_t()> wall_clock = wall_clock_ms;
};

/// The journal of this host's data centre in the host's role: owner, copy or
/// none, by the newest owner record it was given. Calls may come from several
/// threads; a write's first caller sends the records of all that wait.
class journal_replicator : public owned_journal
{
public:
    journal_replicator(journal_replicator_options options,
                       std::unique_ptr<journal> store, peer_network& network,
                       timer_service& timers, metrics& counters);
    ~journal_replicator() override;

    bool owned() const override;
    std::uint64_t epoch() const override;
    std::uint64_t incarnation() const override;

    /// Returns `applied` when this call journaled the transition durably,
    /// `current` when it is not allowed from the current phase, and `unknown`
    /// when the journal can not tell. A record with the phase absent only asks
    /// for the current one.
    wire::transition_response
    transition(const wire::request_record& record) override;

    /// Returns `kUnavailable` when the outcome is not known or this host is not
    /// the owner, and `kFailedPrecondition` for a job that was dropped.
    absl::Status write_job(const wire::job_record& record) override;

    std::vector<wire::job_record> jobs() const override;
    std::optional<wire::job_record> job(const std::string& id) const override;

    /// Takes the role that a committed owner record gives this host. Records
    /// of other data centres and of no higher epoch are ignored.
    void set_owner_record(const wire::owner_record& record);

    /// Names the host that an owner without a copy prepares as its next one;
    /// empty for none. See `choose_candidate`.
    void set_candidate(const std::string& host);

    /// The copy's side.
    wire::journal_append_response receive(const wire::journal_append& message);

    /// Returns what the control leader needs for its decision.
    wire::journal_status status() const;

    /// True while the owner has not reached its copy for the copy timeout.
    bool copy_lost() const;

    /// Checks the copy, prepares a candidate, and drops old records. Called by
    /// the timer service; blocks while the copy does not answer.
    void tick();

    const journal& content() const { return *journal_; }

private:
    enum class operation_kind
    {
        transition,
        job,
        retention,
        confirm // Only checks that the copy still follows this epoch.
    };

    // One write that waits for its batch.
    struct operation
    {
        operation_kind kind = operation_kind::confirm;
        const wire::request_record* request = nullptr;
        const wire::job_record* job = nullptr;
        wire::retention_mark mark;
        wire::transition_response response;
        absl::Status status;
        std::uint64_t depends = 0; // Last sequence that the outcome rests on.
        bool confirm = false;      // It rests on the copy's confirmation too.
        bool done = false;
    };

    // Records of one batch, as they are decided one after the other.
    struct batch_records
    {
        std::uint64_t activation = 0;
        std::uint64_t epoch = 0;
        std::uint64_t last_sequence = 0;
        std::vector<wire::journal_record> records;
        std::map<std::string, wire::request_record> requests;
    };

    void run(operation& work);
    void process(const std::vector<operation*>& work);
    absl::Status append(const std::vector<operation*>& work,
                        batch_records& batch);
    void decide(operation& work, batch_records& batch);
    void decide_request(operation& work, batch_records& batch);
    id_rules rules() const;
    void finish(operation& work, const absl::Status& committed,
                std::uint64_t activation);

    absl::Status commit(std::uint64_t activation, bool confirm);
    absl::StatusOr<bool> commit_state(std::uint64_t activation, bool confirm);
    bool all_durable(const std::vector<operation*>& work) const;
    std::optional<replication_target> target_for(bool candidate) const;
    bool note_result(const replication_target& target,
                     const send_result& result);
    void note_copy_lost(const replication_target& target,
                        const std::string& reason);

    void activate(const wire::owner_record& record, bool continues);
    bool active_locked() const;
    journal_content whole_content();
    void check_copy();
    void prepare_candidate();
    void apply_retention();
    void compact();

    const journal_replicator_options options_;
    const std::unique_ptr<journal> journal_;
    timer_service& timers_;
    metrics& counters_;
    recent_records recent_;

    // Held by everything that writes to the journal or changes the role; taken
    // before state_mutex_. Never held during a call to another host.
    std::mutex write_mutex_;
    journal_copy copy_;

    mutable std::mutex state_mutex_; // Guards the members up to candidate_.
    wire::owner_record record_;
    std::uint64_t superseded_epoch_ = 0; // Highest epoch seen elsewhere.
    std::uint64_t durable_ = 0; // Last sequence known durable in this epoch.
    bool lost_ = false;
    bool copy_lost_ = false;
    // Counts the times at which the journal became this host's to write, so
    // that a write does not count as durable in another content.
    std::uint64_t activation_ = 0;
    std::string candidate_;

    std::mutex queue_mutex_; // Guards the members below.
    std::condition_variable finished_;
    std::deque<operation*> queue_;
    bool leading_ = false;

    // Used by the batch's leader only, and by the tick only.
    journal_sender copy_sender_;
    journal_sender candidate_sender_;
    std::atomic<bool> ticking_{false};
    time_point next_retention_;
    timer_subscription timer_;
};

} // namespace limpetstack

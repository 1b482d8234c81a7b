#pragma once

#include "base/clock.hpp"
#include "base/timer_service.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace limpetstack::wire
{
class command_outcome;
class consensus_message;
class control_command;
class log_entry;
class members_response;
} // namespace limpetstack::wire

namespace limpetstack
{

class consensus;
class data_folder;
class log_store;
class metrics;
class pending_call;
class state_machine;
struct log_snapshot;
struct stored_log;

struct control_group_options
{
    std::string host;
    std::string data_centre;
    std::string peer_address;
    bool found_group = false; // Makes a new group; only on an empty folder.
    bool votes = false;       // This host is meant to vote.
    milliseconds heartbeat{100};
    milliseconds election_timeout{1000};
    std::uint32_t snapshot_entries = 256; // Entries between two snapshots.
    std::uint64_t seed = 0;
};

/// This host's replica of the control log. One thread drives the protocol, the
/// log on disk and the state machine; public calls may come from any thread.
class control_group
{
public:
    /// Passes a message to the replica at an address. Called on the group's
    /// thread: it must not block.
    using sender = std::function<void(const std::string& peer_address,
                                      const wire::consensus_message&)>;

    /// Opens the log in `folder` and restores the state machine. Fails when the
    /// log is damaged, and with `found_group` on a folder that holds a log. The
    /// references must outlive the group.
    static absl::StatusOr<std::unique_ptr<control_group>>
    open(const control_group_options& options, data_folder& folder,
         state_machine& state, timer_service& timers, metrics& counters,
         sender send);

    ~control_group();
    control_group(const control_group&) = delete;
    control_group& operator=(const control_group&) = delete;

    /// Starts the thread; once only.
    void start();

    /// Ends the thread. Open calls end with `command_unknown` or
    /// `command_unavailable`.
    void stop();

    /// Accepts a message from another replica. Drops it when overloaded, as the
    /// network may.
    void receive(const wire::consensus_message& message);

    /// Appends a command on the leader and waits until it is applied here.
    /// `command_unavailable`: not appended, this replica does not lead or the
    /// group is overloaded. `command_unknown`: appended, fate unknown.
    wire::command_outcome propose(const wire::control_command& command,
                                  milliseconds timeout);

    /// Returns true when a majority has confirmed, after the call, that this
    /// replica leads, and everything committed before the call is applied.
    bool confirm_read(milliseconds timeout);

    bool leads() const;

    /// Returns the address of the leader, empty when none is known.
    std::string leader_address() const;

    /// Returns the membership in use, the leader, the term and the commit index
    /// as this replica knows them.
    wire::members_response members() const;

    /// Returns why this replica takes no further part: the error of the disk,
    /// or `kCancelled` after `stop`. OK otherwise.
    absl::Status status() const;

    std::uint64_t replica_id() const { return replica_id_; }

private:
    struct view;
    struct proposal
    {
        std::uint64_t term = 0;
        std::shared_ptr<pending_call> call;
    };

    control_group(const control_group_options& options, data_folder& folder,
                  state_machine& state, timer_service& timers,
                  metrics& counters, sender send);

    absl::Status load();
    absl::Status found(stored_log& stored);

    bool enqueue(std::function<void()> event, bool droppable);
    void run();
    void tick(time_point now);
    void flush();
    void start_proposal(const std::shared_ptr<pending_call>& call,
                        const wire::control_command& command);
    void start_read(const std::shared_ptr<pending_call>& call);
    bool refuse_if_failed(pending_call& call) const;
    void send_message(const wire::consensus_message& message);
    void apply_up_to(std::uint64_t commit);
    void apply_entry(const wire::log_entry& entry);
    void finish_proposal(const wire::log_entry& entry,
                         const wire::command_outcome& outcome);
    absl::Status compact_if_due();
    std::uint64_t kept_entries() const;
    void fail_lost_calls();
    void halt(const absl::Status& status);
    void publish();

    const control_group_options options_;
    const std::uint64_t replica_id_;
    data_folder& folder_;
    state_machine& state_;
    timer_service& timers_;
    metrics& metrics_;
    const sender send_;

    // The group's thread only, once it runs.
    std::unique_ptr<log_store> store_;
    std::unique_ptr<consensus> core_;
    absl::Status failure_;
    std::uint64_t applied_ = 0;
    std::uint64_t bytes_since_snapshot_ = 0;
    std::map<std::uint64_t, proposal> proposals_;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> reads_;
    std::uint64_t calls_term_ = 0; // Term in which the open calls began.
    std::map<std::uint64_t, std::string> addresses_; // Of message senders.

    std::mutex queue_mutex_;
    std::condition_variable queue_changed_;
    std::vector<std::function<void()>> queue_;
    bool stopping_ = true;
    std::atomic<bool> tick_queued_{false};
    std::thread thread_;
    timer_subscription timer_;

    mutable std::mutex view_mutex_;
    std::unique_ptr<view> view_;
};

} // namespace limpetstack

#pragma once

#include "base/clock.hpp"
#include "base/timer_service.hpp"
#include "limpetstack/document.hpp"
#include "limpetstack/settings.hpp"
#include "state/config_view.hpp"

#include "peer.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace limpetstack
{

class config_file;
class metrics;
class peer_network;

/// Keeps a callback subscribed; its destruction cancels the callback and waits
/// for a call that is running on another thread.
using config_subscription = std::shared_ptr<void>;

/// Holds the configuration in force on this daemon, the newest owner records
/// and the newest set of evacuations, and polls other daemons for higher
/// versions.
///
/// With a file, a version is synced before it is in force. Without one, only
/// versions that a disk host of the same data centre has synced, or that a
/// majority confirmed, are taken. A daemon that does not know from its file
/// which version it had before puts nothing in force until a majority
/// confirmed a version: disk hosts of its data centre may be behind a version
/// that this daemon had from a confirmed read before its restart. So the
/// version in force never goes down, not even across restarts.
///
/// All functions may be called from several threads.
class config_distributor
{
public:
    using parser = std::function<parsed_document(std::string_view)>;

    /// Reads the local control state. With `confirmed`, the answer must
    /// reflect every commit before the call; an error says that this can not
    /// be had now.
    using local_reader =
        std::function<absl::StatusOr<config_view>(bool confirmed)>;

    struct options
    {
        std::string data_centre;
        std::vector<peer_settings> peers;
        milliseconds poll_interval{500};
        milliseconds call_timeout{300}; // Each call to a peer.
    };

    /// `file` is null on a host without a disk, `read_local` is empty on a
    /// host that is no control member. The references must outlive this.
    config_distributor(options settings, parser parse, peer_network& network,
                       timer_service& timers, metrics& counters,
                       std::shared_ptr<config_file> file,
                       local_reader read_local);
    ~config_distributor();

    config_distributor(const config_distributor&) = delete;
    config_distributor& operator=(const config_distributor&) = delete;

    /// Puts the stored version in force and starts to poll. Returns an error
    /// that names the file when it can not be read or is damaged; then the
    /// daemon must not go on, because it could fall back to a lower version.
    absl::Status start();

    /// Returns the document in force, null when there is none.
    std::shared_ptr<const document> current() const;

    /// Returns the version in force, 0 when there is none.
    std::uint64_t version() const;

    /// Returns the newest known owner record of each data centre, sorted.
    std::vector<wire::owner_record> owners() const;

    /// Returns the newest known set of evacuations.
    wire::evacuation_set evacuations() const;

    /// Returns true while the data centre is evacuated as far as is known here.
    bool evacuated(const std::string& data_centre) const;

    /// Answers a peer. A confirmed read blocks until a majority answered.
    wire::config_response serve(const wire::config_request& request);

    /// Calls `changed` after each change of the version, of an owner record or
    /// of the evacuations, on the thread that made it. It must not call
    /// `offer`, `poll` or `serve`.
    [[nodiscard]] config_subscription subscribe(std::function<void()> changed);

    /// Takes a version that the local control state has applied. `confirmed`
    /// says that a majority confirmed, since this process started, that no
    /// higher version was committed before.
    void offer(std::uint64_t version, const std::string& text,
               const std::vector<wire::owner_record>& owners, bool confirmed);

    /// Asks peers once; the timer calls it. Returns at once when another
    /// thread is polling.
    void poll();

private:
    struct candidate;
    struct subscriber;

    void accept(const candidate& offered);
    bool merge_owners(const std::vector<wire::owner_record>& owners);
    bool merge_evacuations(const wire::evacuation_set& offered);
    bool install(const candidate& offered);
    absl::Status store(std::uint64_t version, const std::string& text);
    void notify();
    void take(const wire::config_response& answer, bool confirmed);
    void poll_local();
    void poll_disk_hosts();
    void poll_voters();
    absl::StatusOr<wire::config_response> ask(const peer_settings& peer,
                                              bool confirmed);
    bool settled() const;

    const options options_;
    const parser parse_;
    peer_network& network_;
    timer_service& timers_;
    metrics& metrics_;
    const std::shared_ptr<config_file> file_;
    const local_reader read_local_;
    std::vector<peer_settings> disk_hosts_; // Of the same data centre.
    std::vector<peer_settings> voters_;

    // Order of locking: poll_mutex_, accept_mutex_, state_mutex_.
    std::mutex poll_mutex_;
    std::size_t next_voter_ = 0; // Guarded by poll_mutex_.

    // Held while a version is parsed, synced and put in force.
    std::mutex accept_mutex_;
    std::uint64_t refused_version_ = 0; // Logged as not valid here.
    bool store_failed_ = false;         // Logged as not stored.

    mutable std::mutex state_mutex_;
    bool settled_ = false; // No lower version than before can be taken.
    std::uint64_t version_ = 0;
    std::shared_ptr<const std::string> text_;
    std::shared_ptr<const document> document_;
    std::map<std::string, wire::owner_record> owners_;
    wire::evacuation_set evacuations_;
    std::set<std::string> evacuated_; // Names in `evacuations_`.
    std::uint64_t applied_ = 0;
    std::vector<std::weak_ptr<subscriber>> subscribers_;

    // Cancelled first, so that no callback runs on destroyed members.
    std::vector<timer_subscription> subscriptions_;
};

} // namespace limpetstack

#pragma once

#include "base/timer_service.hpp"
#include "coordination/config_distributor.hpp"
#include "coordination/control_client.hpp"
#include "coordination/control_group.hpp"
#include "limpetstack/settings.hpp"
#include "state/control_state.hpp"

#include <absl/status/statusor.h>

#include <memory>
#include <mutex>
#include <vector>

namespace limpetstack
{

class data_folder;
class metrics;
class peer_network;

/// The control group's part on this host, if it has one, and the
/// configuration in force.
class control_service
{
public:
    /// `folder` is null on a host without a disk.
    static absl::StatusOr<std::unique_ptr<control_service>>
    open(const settings& own, data_folder* folder, peer_network& network,
         timer_service& timers, metrics& counters, bool found_group);

    absl::Status start();
    void stop();

    // Calls of peers.
    void deliver(const wire::consensus_message& message);
    wire::command_outcome propose(const wire::control_command& command);
    wire::config_response read_config(const wire::config_request& request);
    wire::audit_response read_audit(const wire::audit_request& request) const;
    wire::members_response read_members() const;

    bool leads() const { return group_ && group_->leads(); }
    const std::string& host() const { return settings_.host; }

    /// Commands to the leader, wherever it is.
    control_client& client() { return *client_; }
    config_distributor& config() { return *config_; }

    /// The members as the leader sees them; none when nobody answers.
    wire::members_response find_members();

    /// Returns the newest audit records that this host or a voter holds.
    absl::StatusOr<wire::audit_response>
    find_audit(const wire::audit_request& request);

    /// Returns the operator of the version in force if this host knows.
    std::string last_operator(std::uint64_t version) const;

    /// Proposes an owner record; the outcome is only counted, since the next
    /// decision sees the committed records.
    void propose_owner(const wire::owner_record& record);

private:
    control_service(const settings& own, peer_network& network,
                    timer_service& timers, metrics& counters);

    absl::Status open_group(data_folder& folder, bool found_group);
    void make_client();
    void make_config(data_folder* folder);
    absl::StatusOr<config_view> local_view(bool confirmed);
    wire::control_command new_command() const;
    void admit_member();

    const settings settings_;
    peer_network& network_;
    timer_service& timers_;
    metrics& metrics_;
    std::vector<std::string> voters_; // Other hosts meant to vote.
    control_state state_;
    std::unique_ptr<control_group> group_; // Null on hosts that do not vote.
    std::unique_ptr<control_client> client_;
    std::unique_ptr<config_distributor> config_;
    std::vector<timer_subscription> subscriptions_;
};

} // namespace limpetstack

#pragma once

#include "base/metrics.hpp"
#include "coordination/fleet/consensus_runner.hpp"
#include "coordination/fleet/fleet_scheduler.hpp"
#include "coordination/fleet/fleet_service.hpp"
#include "coordination/fleet/guarded_worker_port.hpp"
#include "coordination/fleet/leader_permission.hpp"
#include "coordination/fleet/member_policy.hpp"
#include "coordination/fleet/worker_fleet.hpp"
#include "daemon/fleet/core_limits.hpp"
#include "daemon/fleet/disk_thread.hpp"
#include "daemon/fleet/node_settings.hpp"
#include "daemon/fleet/replica_identity.hpp"
#include "transport/frame_link.hpp"
#include "transport/http_policy_port.hpp"
#include "transport/http_server.hpp"
#include "transport/http_worker_port.hpp"
#include "transport/peer_links.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// A host with a disk. It holds a replica of the fleet's state, serves workers
/// and operators and, while it leads, runs the scheduler. All calls must come
/// from the thread that runs `io`.
class core_node
{
public:
    core_node(boost::asio::io_context& io, const node_settings& settings,
              const external_protocol& protocol, replica_storage storage,
              metrics& counters);
    ~core_node();
    core_node(const core_node&) = delete;
    core_node& operator=(const core_node&) = delete;

    /// Opens the listeners. Returns false when an address can not be used.
    bool start();

    /// Applies changed settings; only changes of the seeds take effect.
    void reload(const node_settings& settings);

    /// Stops leading and accepting calls; another host is elected leader.
    void stop();

private:
    // Followers elect another leader when they have not heard the leader for
    // this long. A leader that has not heard a majority for as long steps down.
    static constexpr milliseconds election_timeout{600};

    // Holds everything that exists only while this host leads.
    struct leadership
    {
        leadership(core_node& node, std::uint64_t term);
        http_worker_port port;
        guarded_worker_port guarded_port;
        http_policy_port policy;
        worker_fleet workers;
        fleet_scheduler scheduler;
        time_point began_at; // When the leadership was confirmed.
        bool acts = true;    // False while its orders are withheld.
    };

    void on_tick();
    void schedule_tick();
    void on_peer_frame(const std::shared_ptr<frame_connection>& from,
                       const peer_frame& frame);
    void on_link_frame(const peer_frame& frame);
    void on_consensus(const wire::consensus_message& message);
    void send_message(const wire::consensus_message& message);
    void record_observed_host(const hello& from);
    bool learn_host(std::uint64_t replica, const std::string& address);
    void forget_silent_hosts(time_point now);
    void drop_closed_subscribers();
    void update_leadership();
    bool may_act_as_leader(std::uint64_t term) const;
    void confirm_after_gap(time_point now);
    void log_permission();
    void begin_leadership();
    void end_leadership();
    void run_due_work();
    void manage_members();
    void use_document();
    void update_targets();
    host_status status() const;
    void push_status();
    std::string leader_address() const;
    void serve_call(const forwarded_call& call, const answer_handler& done);
    void log_refusal(const std::string& method, const std::string& target,
                     const forwarded_answer& answer) const;
    void log_stored_job(const accepted_job& job) const;
    bool group_applies_evacuations() const;
    void report_evacuations();
    void handle_control(http_server_request request, http_responder respond);
    void forward_to_leader(forwarded_call call, http_responder respond);
    void propose_timed(fleet_command command,
                       consensus_runner::outcome_handler done);
    void fail_expired_calls();
    fleet_service_dependencies service_dependencies();
    void exit_when_disk_recovers();

    boost::asio::io_context& io_;
    node_settings settings_;
    const core_limits limits_;
    metrics& counters_;
    const external_protocol& protocol_;
    replica_storage storage_;
    disk_thread disk_;
    fleet_state state_;
    std::optional<fleet_document> document_;
    std::unique_ptr<consensus_runner> runner_;
    std::unique_ptr<leadership> leadership_;
    // Term whose leadership is being confirmed or was confirmed; 0 when none.
    std::uint64_t confirming_term_ = 0;
    std::unique_ptr<peer_links> links_;
    frame_listener listener_;
    http_server control_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer disk_timer_;
    std::map<std::uint64_t, observed_host> observed_hosts_;
    std::map<std::uint64_t, std::string>
        replica_addresses_; // By replica identity.
    // Peer addresses learned from pings and consensus messages, and when they
    // were last heard of.
    std::map<std::string, time_point> learned_addresses_;
    // Connections that have sent a ping; they receive changes of the status.
    std::vector<std::weak_ptr<frame_connection>> status_subscribers_;
    // A control call that was forwarded to the leader.
    struct forwarded_call_state
    {
        http_responder respond;
        time_point deadline;
    };
    std::map<std::uint64_t, forwarded_call_state> forwarded_calls_;
    std::uint64_t next_call_ = 1;
    time_point members_checked_at_;
    // When this host last checked whether it still leads.
    time_point leadership_checked_at_;
    // A majority has to confirm the leadership, because this host may have been
    // suspended.
    bool unconfirmed_after_gap_ = false;
    bool confirming_after_gap_ = false;
    std::uint64_t leadership_gaps_ = 0; // Number of such suspensions.
    std::string last_leader_;
    fleet_service service_;
    bool stopping_ = false;
    bool running_due_work_ = false;
    // Is reset by the destructor; timer handlers that run later do nothing.
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0);
};

} // namespace limpetstack::fleet

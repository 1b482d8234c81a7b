#pragma once

#include "base/timer_service.hpp"
#include "coordination/ownership.hpp"
#include "limpetstack/settings.hpp"

#include <absl/status/statusor.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace limpetstack::wire
{
class forwarded_answer;
class forwarded_request;
class host_entry;
class job_answer;
class job_cancel;
class job_list;
class job_query;
class job_submission;
class request_record;
class request_transition;
class transition_response;
} // namespace limpetstack::wire

namespace limpetstack
{

class control_service;
class dispatcher;
class gang_coordinator;
class journal_replicator;
class membership;
class metrics;
class peer_network;
class registry;
class request_coordinator;
class upstream_client;
class worker_client;

/// The soft state, the journal, the request path and the job path of this
/// host.
class work_service
{
public:
    /// The references must outlive the service.
    static absl::StatusOr<std::unique_ptr<work_service>>
    open(const settings& own, control_service& control, peer_network& network,
         timer_service& timers, metrics& counters);

    ~work_service();
    work_service(const work_service&) = delete;
    work_service& operator=(const work_service&) = delete;

    void start();

    /// Hands dispatching over to other hosts; requests in progress go on.
    void drain();

    /// Waits for requests in progress, then ends all activity.
    void stop();

    // Calls of peers, and of this host's listeners.
    wire::transition_response
    transition(const wire::request_transition& request);
    wire::job_answer submit_job(const wire::job_submission& request);
    wire::job_list list_jobs(const wire::job_query& query);
    wire::job_answer cancel_job(const wire::job_cancel& request);

    /// Issues a request id of the local data centre; empty when it has no
    /// journal owner.
    std::string new_request_id();

    registry& soft_state() { return *registry_; }
    membership& hosts() { return *membership_; }
    dispatcher& local_dispatcher() { return *dispatcher_; }
    request_coordinator& requests() { return *requests_; }
    journal_replicator& journal() { return *journal_; }

    /// Returns every host that was heard of, this one included.
    std::vector<ownership_host> known_hosts() const;

    /// Returns the data centres that the settings name, this host's first.
    std::vector<std::string> data_centres() const;

private:
    work_service(const settings& own, control_service& control,
                 peer_network& network, timer_service& timers,
                 metrics& counters);

    absl::Status open_journal();
    void make_request_path();
    void make_job_path();
    void follow_owners();
    void decide_owners(time_point now);
    void describe(wire::host_entry& entry) const;
    std::string owner_of(const std::string& data_centre) const;
    std::uint64_t incarnation_of(const std::string& data_centre) const;
    wire::transition_response decide(const wire::request_record& record);

    const settings settings_;
    control_service& control_;
    peer_network& network_;
    timer_service& timers_;
    metrics& metrics_;
    std::atomic<bool> draining_{false};
    std::unique_ptr<registry> registry_;
    std::unique_ptr<membership> membership_;
    std::unique_ptr<journal_replicator> journal_;
    std::unique_ptr<upstream_client> upstreams_;
    std::unique_ptr<dispatcher> dispatcher_;
    std::unique_ptr<request_coordinator> requests_;
    std::unique_ptr<worker_client> workers_;
    std::unique_ptr<gang_coordinator> gangs_;
    ownership ownership_;
    std::vector<std::shared_ptr<void>> subscriptions_;
};

} // namespace limpetstack

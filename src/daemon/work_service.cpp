#include "daemon/work_service.hpp"

#include "base/hash.hpp"
#include "base/metrics.hpp"
#include "coordination/dispatcher.hpp"
#include "coordination/gang_coordinator.hpp"
#include "coordination/journal_replicator.hpp"
#include "coordination/membership.hpp"
#include "coordination/peer_network.hpp"
#include "coordination/request_coordinator.hpp"
#include "daemon/control_service.hpp"
#include "state/registry.hpp"
#include "state/request_id.hpp"
#include "transport/upstream_client.hpp"
#include "transport/worker_client.hpp"

#include <peer.pb.h>

#include <algorithm>
#include <set>
#include <thread>
#include <utility>

namespace limpetstack
{
namespace
{

constexpr milliseconds owner_interval{200};
constexpr milliseconds transition_timeout{2000};
constexpr milliseconds job_timeout{3000};
constexpr milliseconds owner_retry_pause{100};
constexpr std::uint64_t answer_limit_bytes = 16U << 20U;

wire::transition_response unknown_transition(const std::string& reason)
{
    wire::transition_response response;
    response.set_unknown(true);
    response.set_reason(reason);
    return response;
}

template <class Answer>
Answer unavailable(const std::string& reason)
{
    Answer answer;
    answer.set_available(false);
    answer.set_reason(reason);
    return answer;
}

std::string no_owner(const std::string& data_centre)
{
    return "the owner of the journal of data centre " + data_centre +
           " can not be reached; try again";
}

// A call whose answer was lost may have been carried out.
wire::job_answer or_unknown(const absl::StatusOr<wire::job_answer>& answer,
                            const std::string& data_centre,
                            const std::string& job)
{
    if (answer.ok())
    {
        return *answer;
    }
    auto out = unavailable<wire::job_answer>(no_owner(data_centre));
    if (!absl::IsFailedPrecondition(answer.status()))
    {
        out.set_reason("the owner of the journal of data centre " +
                       data_centre +
                       " did not answer; the outcome is not known");
        out.set_unknown(true);
        out.set_job_id(job);
    }
    return out;
}

template <class Answer>
Answer or_unavailable(const absl::StatusOr<Answer>& answer,
                      const std::string& data_centre)
{
    return answer.ok() ? *answer : unavailable<Answer>(no_owner(data_centre));
}

} // namespace

work_service::work_service(const settings& own, control_service& control,
                           peer_network& network, timer_service& timers,
                           metrics& counters)
    : settings_(own)
    , control_(control)
    , network_(network)
    , timers_(timers)
    , metrics_(counters)
    , ownership_({own.timing.host_timeout, {}})
{
}

work_service::~work_service() = default;

absl::StatusOr<std::unique_ptr<work_service>>
work_service::open(const settings& own, control_service& control,
                   peer_network& network, timer_service& timers,
                   metrics& counters)
{
    std::unique_ptr<work_service> opened(
        new work_service(own, control, network, timers, counters));
    opened->registry_ = std::make_unique<registry>(
        own.timing.announcement_lease, own.timing.tombstone_retention);
    const auto status = opened->open_journal();
    if (!status.ok())
    {
        return status;
    }
    auto& self = *opened;
    self.membership_ = std::make_unique<membership>(
        own, *self.registry_, network, timers, counters,
        [&self](wire::host_entry& entry)
        {
            self.describe(entry);
        },
        static_cast<std::uint64_t>(wall_clock_ms()),
        stable_hash(random_hex(8)));
    self.make_request_path();
    self.make_job_path();
    return opened;
}

absl::Status work_service::open_journal()
{
    auto store = journal::open_folder(settings_.data_folder);
    if (!store.ok())
    {
        return store.status();
    }
    journal_replicator_options options;
    options.host = settings_.host;
    options.data_centre = settings_.data_centre;
    journal_ = std::make_unique<journal_replicator>(
        options, *std::move(store), network_, timers_, metrics_);
    return absl::OkStatus();
}

void work_service::make_request_path()
{
    const auto document_in_force = [this]
    {
        return control_.config().current();
    };
    const auto evacuated_here = [this]
    {
        return control_.config().evacuated(settings_.data_centre);
    };
    upstreams_ =
        std::make_unique<upstream_client>(answer_limit_bytes, metrics_);
    dispatcher_ = std::make_unique<dispatcher>(
        settings_, *registry_, *upstreams_, timers_, metrics_,
        document_in_force,
        [this](const wire::request_record& record)
        {
            return decide(record);
        },
        evacuated_here);
    requests_ = std::make_unique<request_coordinator>(
        settings_, *membership_, *registry_, *dispatcher_, network_, timers_,
        metrics_, document_in_force,
        [this]() -> std::optional<std::uint64_t>
        {
            const auto incarnation = incarnation_of(settings_.data_centre);
            return incarnation == 0 ? std::nullopt
                                    : std::make_optional(incarnation);
        },
        [this](const std::string& data_centre)
        {
            return control_.config().evacuated(data_centre);
        });
}

void work_service::make_job_path()
{
    workers_ = std::make_unique<worker_client>();
    gang_timing timing;
    timing.lease = settings_.timing.worker_lease;
    gangs_ = std::make_unique<gang_coordinator>(
        settings_.data_centre, *journal_, *workers_,
        [this]
        {
            std::vector<wire::worker_entry> live;
            for (const auto& entry : registry_->workers(settings_.data_centre))
            {
                live.push_back(*entry);
            }
            return live;
        },
        [this]
        {
            return control_.config().current();
        },
        timers_, metrics_, timing,
        [this]
        {
            return control_.config().evacuated(settings_.data_centre);
        });
}

void work_service::start()
{
    membership_->start();
    dispatcher_->start();
    gangs_->start();
    subscriptions_.push_back(control_.config().subscribe(
        [this]
        {
            follow_owners();
        }));
    follow_owners();
    subscriptions_.push_back(timers_.every(owner_interval,
                                           [this](time_point now)
                                           {
                                               decide_owners(now);
                                           }));
}

void work_service::drain()
{
    draining_ = true;
    membership_->set_draining();
    dispatcher_->drain();
}

void work_service::stop()
{
    dispatcher_->stop();
    subscriptions_.clear();
    gangs_->stop();
    membership_->stop();
}

void work_service::follow_owners()
{
    for (const auto& record : control_.config().owners())
    {
        if (record.data_centre() == settings_.data_centre)
        {
            journal_->set_owner_record(record);
        }
    }
}

void work_service::describe(wire::host_entry& entry) const
{
    entry.set_config_version(control_.config().version());
    *entry.mutable_journal() = journal_->status();
}

std::vector<ownership_host> work_service::known_hosts() const
{
    ownership_host self;
    self.live = true;
    self.entry.set_host(settings_.host);
    self.entry.set_data_centre(settings_.data_centre);
    self.entry.set_has_disk(!settings_.data_folder.empty());
    self.entry.set_draining(draining_);
    describe(self.entry);
    std::vector<ownership_host> hosts = {self};
    for (const auto& known : registry_->hosts())
    {
        hosts.push_back(
            {known.entry, membership_->is_live(known.entry.host())});
    }
    return hosts;
}

void work_service::decide_owners(time_point now)
{
    const auto hosts = known_hosts();
    const auto records = control_.config().owners();
    for (const auto& record : records)
    {
        if (record.data_centre() == settings_.data_centre)
        {
            journal_->set_candidate(choose_candidate(record, hosts));
        }
    }
    if (!control_.leads())
    {
        return;
    }
    for (const auto& record : ownership_.propose(records, hosts, now))
    {
        control_.propose_owner(record);
    }
}

std::string work_service::owner_of(const std::string& data_centre) const
{
    for (const auto& record : control_.config().owners())
    {
        if (record.data_centre() == data_centre)
        {
            return record.owner();
        }
    }
    return "";
}

std::uint64_t work_service::incarnation_of(const std::string& data_centre) const
{
    for (const auto& record : control_.config().owners())
    {
        if (record.data_centre() == data_centre)
        {
            return record.incarnation();
        }
    }
    return 0;
}

wire::transition_response
work_service::decide(const wire::request_record& record)
{
    const auto home = parse_request_id(record.id());
    if (!home.ok())
    {
        return unknown_transition("the id was not issued by this system");
    }
    wire::request_transition request;
    request.set_data_centre(home->data_centre);
    *request.mutable_record() = record;
    const auto deadline = timers_.now() + transition_timeout;
    // A transition may be repeated: the journal answers a repeated one with
    // the record as it is, so a new owner is tried until the time is up.
    for (;;)
    {
        const auto owner = owner_of(home->data_centre);
        if (owner == settings_.host)
        {
            return transition(request);
        }
        if (!owner.empty())
        {
            const auto answer =
                network_.transition(owner, request, transition_timeout);
            if (answer.ok())
            {
                return *answer;
            }
        }
        if (timers_.now() >= deadline)
        {
            return unknown_transition(no_owner(home->data_centre));
        }
        std::this_thread::sleep_for(owner_retry_pause);
    }
}

wire::transition_response
work_service::transition(const wire::request_transition& request)
{
    if (request.data_centre() != settings_.data_centre)
    {
        return unknown_transition("host " + settings_.host +
                                  " is not in data centre " +
                                  request.data_centre());
    }
    return journal_->transition(request.record());
}

wire::job_answer work_service::submit_job(const wire::job_submission& request)
{
    auto routed = request;
    if (routed.data_centre().empty())
    {
        routed.set_data_centre(settings_.data_centre);
    }
    const auto home = routed.data_centre();
    const auto incarnation = incarnation_of(home);
    if (incarnation == 0)
    {
        return unavailable<wire::job_answer>(no_owner(home));
    }
    if (routed.id().empty())
    {
        routed.set_id(new_job_id(home, incarnation));
    }
    const auto owner = owner_of(home);
    if (owner == settings_.host)
    {
        return gangs_->submit(routed);
    }
    return or_unknown(network_.submit_job(owner, routed, job_timeout), home,
                      routed.id());
}

wire::job_list work_service::list_jobs(const wire::job_query& query)
{
    const auto owner = owner_of(query.data_centre());
    if (owner == settings_.host)
    {
        return gangs_->list(query);
    }
    if (owner.empty())
    {
        return unavailable<wire::job_list>(no_owner(query.data_centre()));
    }
    return or_unavailable(network_.list_jobs(owner, query, job_timeout),
                          query.data_centre());
}

wire::job_answer work_service::cancel_job(const wire::job_cancel& request)
{
    const auto owner = owner_of(request.data_centre());
    if (owner == settings_.host)
    {
        return gangs_->cancel(request);
    }
    if (owner.empty())
    {
        return unavailable<wire::job_answer>(no_owner(request.data_centre()));
    }
    return or_unknown(network_.cancel_job(owner, request, job_timeout),
                      request.data_centre(), request.id());
}

std::string work_service::new_request_id()
{
    const auto id = requests_->new_request_id();
    return id.ok() ? *id : "";
}

std::vector<std::string> work_service::data_centres() const
{
    std::vector<std::string> names = {settings_.data_centre};
    for (const auto& peer : settings_.peers)
    {
        if (std::find(names.begin(), names.end(), peer.data_centre) ==
            names.end())
        {
            names.push_back(peer.data_centre);
        }
    }
    return names;
}

} // namespace limpetstack

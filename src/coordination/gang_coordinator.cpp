#include "coordination/gang_coordinator_impl.hpp"

#include <utility>

namespace limpetstack
{
namespace
{

bool final_state(const std::string& state)
{
    return state == "done" || state == "failed" || state == "cancelled" ||
           state == "refused";
}

bool known_urgency(const std::string& value)
{
    return value.empty() || value == "low" || value == "normal" ||
           value == "urgent";
}

bool known_adjacency(const std::string& value)
{
    return value.empty() || value == "any" || value == "rack";
}

wire::job_answer unavailable(const std::string& reason)
{
    wire::job_answer answer;
    answer.set_reason(reason);
    return answer;
}

// The call may have had an effect, or may have one later.
wire::job_answer outcome_unknown(const std::string& job,
                                 const std::string& reason)
{
    auto answer = unavailable(reason);
    answer.set_unknown(true);
    answer.set_job_id(job);
    return answer;
}

wire::job_answer available(const wire::job_record& job)
{
    wire::job_answer answer;
    answer.set_available(true);
    answer.set_reason(job.reason());
    *answer.mutable_job() = job;
    return answer;
}

const std::string not_owner =
    "this host does not own the data centre's journal";
const std::string not_recorded =
    "the outcome is not known, since the journal did not confirm the record";

} // namespace

queued_job queued_job_of(const wire::job_record& job)
{
    const auto& spec = job.spec();
    queued_job result;
    result.id = job.id();
    result.account = spec.account();
    result.service = spec.service();
    result.shape.members = spec.members();
    result.shape.each = {spec.accelerators(), spec.cores(), spec.memory_mib()};
    result.shape.placement =
        spec.adjacency() == "rack" ? adjacency::rack : adjacency::any;
    result.level = spec.urgency() == "urgent" ? urgency::urgent
                   : spec.urgency() == "low"  ? urgency::low
                                              : urgency::normal;
    result.declared =
        milliseconds(static_cast<milliseconds::rep>(spec.estimate_ms()));
    return result;
}

gang_coordinator::implementation::implementation(
    std::string data_centre, owned_journal& journal, worker_control& control,
    worker_source workers, document_source config, timer_service& timers,
    metrics& counters, gang_timing timing, evacuation_source evacuated)
    : data_centre_(std::move(data_centre))
    , journal_(journal)
    , workers_(std::move(workers))
    , config_(std::move(config))
    , timers_(timers)
    , counters_(counters)
    , timing_(timing)
    , evacuated_(std::move(evacuated))
    , calls_(control, timers, counters, timing.parallel_calls)
    , scheduler_(data_centre_)
{
}

gang_coordinator::implementation::~implementation()
{
    stop();
}

void gang_coordinator::implementation::start()
{
    schedule_timer_ = timers_.every(timing_.schedule_interval,
                                    [this](time_point)
                                    {
                                        schedule();
                                    });
    // Two of three renewals can be lost before a lease ends.
    renew_timer_ = timers_.every(timing_.lease / 3,
                                 [this](time_point)
                                 {
                                     renew();
                                 });
}

void gang_coordinator::implementation::stop()
{
    schedule_timer_.reset();
    renew_timer_.reset();
    calls_.wait();
}

bool gang_coordinator::implementation::owner_now() const
{
    return tenure_.epoch != 0 && journal_.owned() &&
           journal_.epoch() == tenure_.epoch;
}

std::string gang_coordinator::implementation::refusal(
    const wire::job_submission& request) const
{
    const auto home = parse_job_id(request.id());
    if (home.data_centre != data_centre_)
    {
        return "the job id does not belong to data centre " + data_centre_;
    }
    if (home.incarnation != journal_.incarnation())
    {
        return "the job id is unknown: the journal that it belonged to is "
               "lost";
    }
    const auto& spec = request.spec();
    if (!known_urgency(spec.urgency()))
    {
        return "urgency must be low, normal or urgent";
    }
    if (!known_adjacency(spec.adjacency()))
    {
        return "adjacency must be rack or any";
    }
    const auto config = config_();
    const auto* account =
        config ? find_account(*config, spec.account()) : nullptr;
    if (account == nullptr)
    {
        return "unknown client account " + spec.account();
    }
    if (find_service(*account, spec.service()) == nullptr)
    {
        return "client account " + spec.account() + " has no service " +
               spec.service();
    }
    wire::job_record job;
    *job.mutable_spec() = spec;
    const std::lock_guard held(mutex_);
    return scheduler_.refusal(queued_job_of(job).shape);
}

wire::job_answer
gang_coordinator::implementation::submit(const wire::job_submission& request)
{
    {
        const std::lock_guard held(mutex_);
        if (!owner_now())
        {
            return unavailable(not_owner);
        }
        if (!submitting_.insert(request.id()).second)
        {
            return outcome_unknown(request.id(),
                                   "the same job is being submitted already");
        }
    }
    const std::shared_ptr<void> submitting(nullptr,
                                           [this, id = request.id()](void*)
                                           {
                                               const std::lock_guard held(
                                                   mutex_);
                                               submitting_.erase(id);
                                           });
    if (auto known = journal_.job(request.id()))
    {
        with_progress(*known);
        return available(*known);
    }
    wire::job_record job;
    job.set_id(request.id());
    *job.mutable_spec() = request.spec();
    job.set_submitted_ms(wall_clock_ms());
    job.set_reason(refusal(request));
    if (!job.reason().empty())
    {
        counters_.add("jobs_refused_total");
        job.set_state("refused");
        return available(job);
    }
    job.set_state("queued");
    job.set_attempt(1);
    if (!journal_.write_job(job).ok())
    {
        return outcome_unknown(job.id(), not_recorded);
    }
    counters_.add("jobs_accepted_total");
    const std::lock_guard held(mutex_);
    // A takeover that began since then has read the job from the journal.
    if (owner_now() && !scheduler_.knows(job.id()))
    {
        scheduler_.submit(queued_job_of(job), false);
    }
    return available(job);
}

void gang_coordinator::implementation::with_progress(
    wire::job_record& job) const
{
    const std::lock_guard held(mutex_);
    const auto found = gangs_.find(job.id());
    if (found != gangs_.end() && !final_state(job.state()))
    {
        job.set_progress(gang_progress(found->second));
    }
}

wire::job_list
gang_coordinator::implementation::list(const wire::job_query& query) const
{
    wire::job_list result;
    if (!journal_.owned())
    {
        result.set_reason(not_owner);
        return result;
    }
    result.set_available(true);
    std::vector<wire::job_record> jobs;
    if (query.id().empty())
    {
        jobs = journal_.jobs();
    }
    else if (auto one = journal_.job(query.id()))
    {
        jobs.push_back(std::move(*one));
    }
    const bool waits_for_end = evacuated();
    for (auto& job : jobs)
    {
        if (query.account().empty() || query.account() == job.spec().account())
        {
            with_progress(job);
            if (waits_for_end && job.state() == "queued")
            {
                job.set_reason("waits: data centre " + data_centre_ +
                               " is evacuated");
            }
            *result.add_jobs() = std::move(job);
        }
    }
    return result;
}

wire::job_answer
gang_coordinator::implementation::cancel(const wire::job_cancel& request)
{
    lock held(mutex_);
    if (!owner_now())
    {
        return unavailable(not_owner);
    }
    auto job = journal_.job(request.id());
    if (!job || (!request.account().empty() &&
                 job->spec().account() != request.account()))
    {
        wire::job_answer answer;
        answer.set_available(true);
        answer.set_reason("unknown job");
        return answer;
    }
    if (final_state(job->state()))
    {
        return available(*job);
    }
    const auto found = gangs_.find(request.id());
    if (found != gangs_.end())
    {
        found->second.cancelled = true;
        held.unlock();
        return cancel_gang(request.id());
    }
    // A job whose victims are still stopping is withdrawn like a queued one.
    if (!scheduler_.cancel(request.id()))
    {
        return unavailable("the job is being recorded");
    }
    held.unlock();
    return cancel_waiting(std::move(*job));
}

wire::job_answer
gang_coordinator::implementation::cancel_waiting(wire::job_record job)
{
    const auto queued = queued_job_of(job);
    job.set_reason("cancelled");
    job.set_state("cancelled");
    job.set_finished_ms(wall_clock_ms());
    if (!journal_.write_job(job).ok())
    {
        const std::lock_guard held(mutex_);
        if (owner_now() && !scheduler_.knows(job.id()))
        {
            scheduler_.submit(queued, true);
        }
        return outcome_unknown(job.id(), not_recorded);
    }
    counters_.add("jobs_cancelled_total");
    return available(job);
}

wire::job_answer
gang_coordinator::implementation::cancel_gang(const std::string& id)
{
    const std::lock_guard writing(write_lock(id));
    auto job = journal_.job(id);
    if (!job)
    {
        return outcome_unknown(id, not_owner);
    }
    if (final_state(job->state()))
    {
        return available(*job);
    }
    // The stop itself follows with the next scheduling interval.
    job->set_state("stopping");
    job->set_reason("cancelled");
    if (!journal_.write_job(*job).ok())
    {
        return outcome_unknown(id, not_recorded);
    }
    counters_.add("jobs_cancelled_total");
    return available(*job);
}

std::mutex& gang_coordinator::implementation::write_lock(const std::string& id)
{
    return write_locks_[std::hash<std::string>()(id) % write_locks_.size()];
}

gang_coordinator::gang_coordinator(
    std::string data_centre, owned_journal& journal, worker_control& control,
    worker_source workers, document_source config, timer_service& timers,
    metrics& counters, gang_timing timing, evacuation_source evacuated)
    : implementation_(std::make_unique<implementation>(
          std::move(data_centre), journal, control, std::move(workers),
          std::move(config), timers, counters, timing, std::move(evacuated)))
{
}

gang_coordinator::~gang_coordinator() = default;

void gang_coordinator::start()
{
    implementation_->start();
}

void gang_coordinator::stop()
{
    implementation_->stop();
}

wire::job_answer gang_coordinator::submit(const wire::job_submission& request)
{
    return implementation_->submit(request);
}

wire::job_list gang_coordinator::list(const wire::job_query& query) const
{
    return implementation_->list(query);
}

wire::job_answer gang_coordinator::cancel(const wire::job_cancel& request)
{
    return implementation_->cancel(request);
}

} // namespace limpetstack

#include "coordination/gang_coordinator.hpp"

#include "base/metrics.hpp"
#include "base/timer_service.hpp"
#include "coordination/owned_journal.hpp"
#include "coordination/worker_control.hpp"
#include "peer.pb.h"

#include <utility>

namespace limpetstack
{

class gang_coordinator::implementation
{
public:
    explicit implementation(owned_journal& journal)
        : journal_(journal)
    {
    }

    wire::job_answer submit(const wire::job_submission& request)
    {
        wire::job_answer answer;
        if (!journal_.owned())
        {
            answer.set_reason("this host does not own the journal");
            return answer;
        }
        if (const auto known = journal_.job(request.id()))
        {
            answer.set_available(true);
            *answer.mutable_job() = *known;
            return answer;
        }
        auto& job = *answer.mutable_job();
        job.set_id(request.id());
        *job.mutable_spec() = request.spec();
        job.set_state("queued");
        job.set_submitted_ms(wall_clock_ms());
        const auto written = journal_.write_job(job);
        answer.set_available(written.ok());
        answer.set_reason(std::string(written.message()));
        return answer;
    }

    wire::job_list list(const wire::job_query& query) const
    {
        wire::job_list result;
        result.set_available(journal_.owned());
        for (const auto& job : journal_.jobs())
        {
            if ((query.id().empty() || query.id() == job.id()) &&
                (query.account().empty() ||
                 query.account() == job.spec().account()))
            {
                *result.add_jobs() = job;
            }
        }
        return result;
    }

    wire::job_answer cancel(const wire::job_cancel& request)
    {
        wire::job_answer answer;
        auto job = journal_.job(request.id());
        if (!journal_.owned() || !job)
        {
            answer.set_reason("unknown job");
            return answer;
        }
        job->set_state("cancelled");
        answer.set_available(journal_.write_job(*job).ok());
        *answer.mutable_job() = *job;
        return answer;
    }

private:
    owned_journal& journal_;
};

gang_coordinator::gang_coordinator(
    std::string /*data_centre*/, owned_journal& journal,
    worker_control& /*control*/, worker_source /*workers*/,
    document_source /*config*/, timer_service& /*timers*/,
    metrics& /*counters*/, gang_timing /*timing*/)
    : implementation_(std::make_unique<implementation>(journal))
{
}

gang_coordinator::~gang_coordinator() = default;

void gang_coordinator::start() {}

void gang_coordinator::stop() {}

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

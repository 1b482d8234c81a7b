// The writing side of journal_replicator: callers' writes, in batches.
#include "base/metrics.hpp"
#include "coordination/journal_replicator.hpp"
#include "coordination/transition_decision.hpp"
#include "state/request_id.hpp"

#include <algorithm>

namespace limpetstack
{
namespace
{

// Writes that share one sync and one message to the copy.
constexpr std::size_t max_batch = 256;

wire::transition_response unknown_response(const std::string& id,
                                           const std::string& reason)
{
    wire::transition_response response;
    response.set_unknown(true);
    response.set_reason(reason);
    response.mutable_current()->set_id(id);
    return response;
}

// Returns whether the job was dropped after it finished: it is not known, and
// its id is older than what the journal still holds.
bool job_dropped(const journal& source, const std::string& id)
{
    const auto parsed = parse_request_id(id);
    return parsed.ok() &&
           parsed->issued_ms < source.position().jobs_before_ms &&
           !source.jobs().find(id);
}

} // namespace

wire::transition_response
journal_replicator::transition(const wire::request_record& record)
{
    operation work;
    work.kind = operation_kind::transition;
    work.request = &record;
    run(work);
    if (work.response.unknown())
    {
        counters_.add("journal_unknown_total");
    }
    return work.response;
}

absl::Status journal_replicator::write_job(const wire::job_record& record)
{
    operation work;
    work.kind = operation_kind::job;
    work.job = &record;
    run(work);
    return work.status;
}

void journal_replicator::check_copy()
{
    {
        const std::lock_guard lock(queue_mutex_);
        if (leading_ || !queue_.empty() || !target_for(false))
        {
            return;
        }
    }
    operation work;
    run(work);
}

void journal_replicator::run(operation& work)
{
    std::unique_lock lock(queue_mutex_);
    queue_.push_back(&work);
    while (!work.done)
    {
        if (leading_)
        {
            finished_.wait(lock);
            continue;
        }
        leading_ = true;
        const auto count = std::min(queue_.size(), max_batch);
        const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(count);
        const std::vector<operation*> batch(queue_.begin(), end);
        queue_.erase(queue_.begin(), end);
        lock.unlock();
        process(batch);
        lock.lock();
        for (auto* entry : batch)
        {
            entry->done = true;
        }
        leading_ = false;
        finished_.notify_all();
    }
}

void journal_replicator::process(const std::vector<operation*>& work)
{
    batch_records batch;
    auto status = append(work, batch);
    const bool confirm = std::any_of(work.begin(), work.end(),
                                     [](const operation* entry)
                                     {
                                         return entry->confirm;
                                     });
    if (status.ok() && (confirm || !all_durable(work)))
    {
        status = commit(batch.activation, confirm);
    }
    for (auto* entry : work)
    {
        finish(*entry, status, batch.activation);
    }
    counters_.add("journal_batches_total");
    counters_.add("journal_records_total", batch.records.size());
}

absl::Status journal_replicator::append(const std::vector<operation*>& work,
                                        batch_records& batch)
{
    const std::lock_guard write_lock(write_mutex_);
    const auto position = journal_->position();
    {
        const std::lock_guard lock(state_mutex_);
        batch.activation = activation_;
        batch.epoch = record_.epoch();
        if (!active_locked())
        {
            // Whatever the journal holds may be superseded.
            batch.activation = 0;
            return absl::UnavailableError("this host does not own the journal");
        }
    }
    batch.last_sequence = position.last_sequence;
    for (auto* entry : work)
    {
        decide(*entry, batch);
    }
    if (batch.records.empty())
    {
        return absl::OkStatus();
    }
    auto status = journal_->append(batch.records, position.promised_epoch,
                                   position.complete_epoch);
    if (status.ok())
    {
        recent_.push(batch.records);
    }
    return status;
}

void journal_replicator::decide(operation& work, batch_records& batch)
{
    wire::journal_record record;
    switch (work.kind)
    {
    case operation_kind::confirm:
        work.confirm = true;
        return;
    case operation_kind::transition:
        decide_request(work, batch);
        return;
    case operation_kind::job:
        if (job_dropped(*journal_, work.job->id()))
        {
            work.status = absl::FailedPreconditionError(
                "the job is older than the journal's retention");
            return;
        }
        *record.mutable_job() = *work.job;
        break;
    case operation_kind::retention:
        *record.mutable_retention() = work.mark;
        break;
    }
    work.depends = ++batch.last_sequence;
    record.set_sequence(batch.last_sequence);
    record.set_epoch(batch.epoch);
    batch.records.push_back(std::move(record));
}

void journal_replicator::decide_request(operation& work, batch_records& batch)
{
    const auto& id = work.request->id();
    std::optional<wire::request_record> current;
    if (const auto found = batch.requests.find(id);
        found != batch.requests.end())
    {
        current = found->second;
        work.depends = batch.last_sequence;
    }
    else if (auto stored = journal_->requests().find(id))
    {
        current = std::move(stored->first);
        work.depends = stored->second;
    }
    auto decision = decide_transition(*work.request, current, rules());
    work.response.set_reason(decision.reason);
    *work.response.mutable_current() = decision.record;
    switch (decision.kind)
    {
    case transition_kind::refuse:
        work.response = unknown_response(id, decision.reason);
        work.depends = 0;
        return;
    case transition_kind::confirm_absent:
        work.confirm = true;
        return;
    case transition_kind::answer:
        return;
    case transition_kind::write:
        break;
    }
    work.response.set_applied(true);
    work.depends = ++batch.last_sequence;
    wire::journal_record record;
    record.set_sequence(batch.last_sequence);
    record.set_epoch(batch.epoch);
    *record.mutable_request() = decision.record;
    batch.records.push_back(std::move(record));
    batch.requests[id] = std::move(decision.record);
}

id_rules journal_replicator::rules() const
{
    const auto position = journal_->position();
    const auto& requests = journal_->requests();
    id_rules result;
    result.data_centre = options_.data_centre;
    result.incarnation = position.incarnation;
    result.requests_before_ms = position.requests_before_ms;
    result.latest_issue_ms =
        options_.wall_clock() + options_.max_clock_skew.count();
    result.full = requests.size() >= 2 * options_.request_retention.max_count ||
                  requests.memory_bytes() >= 2 * options_.max_request_bytes;
    return result;
}

bool journal_replicator::all_durable(const std::vector<operation*>& work) const
{
    const std::lock_guard lock(state_mutex_);
    return std::all_of(work.begin(), work.end(),
                       [&](const operation* entry)
                       {
                           return entry->depends <= durable_;
                       });
}

void journal_replicator::finish(operation& work, const absl::Status& committed,
                                std::uint64_t activation)
{
    if (committed.ok())
    {
        return;
    }
    {
        // What was durable before still answers, in the same journal content.
        const std::lock_guard lock(state_mutex_);
        if (activation == activation_ && activation != 0 && !work.confirm &&
            work.depends <= durable_)
        {
            return;
        }
    }
    const std::string reason(committed.message());
    if (work.kind == operation_kind::transition)
    {
        work.response = unknown_response(work.request->id(), reason);
    }
    if (work.status.ok())
    {
        work.status = absl::UnavailableError(reason);
    }
}

} // namespace limpetstack

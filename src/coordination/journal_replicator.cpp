#include "coordination/journal_replicator.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "coordination/peer_network.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <thread>

namespace limpetstack
{
namespace
{

// Steps of one tick towards a candidate that takes new records meanwhile.
constexpr int candidate_steps = 8;

journal_point end_of(const journal& source)
{
    const auto position = source.position();
    return {position.last_sequence, position.last_epoch};
}

bool any_before(const std::vector<std::int64_t>& times, std::int64_t limit)
{
    return std::any_of(times.begin(), times.end(),
                       [&](std::int64_t time)
                       {
                           return time < limit;
                       });
}

} // namespace

journal_replicator::journal_replicator(journal_replicator_options options,
                                       std::unique_ptr<journal> store,
                                       peer_network& network,
                                       timer_service& timers, metrics& counters)
    : options_(std::move(options))
    , journal_(std::move(store))
    , timers_(timers)
    , counters_(counters)
    , recent_(end_of(*journal_))
    , copy_(*journal_, options_.data_centre)
    , copy_sender_(
          network, counters, recent_,
          [this]
          {
              return whole_content();
          },
          options_.message_bytes)
    , candidate_sender_(
          network, counters, recent_,
          [this]
          {
              return whole_content();
          },
          options_.message_bytes)
{
    next_retention_ = timers_.now() + options_.retention_interval;
    timer_ = timers_.every(options_.tick_interval,
                           [this](time_point)
                           {
                               tick();
                           });
}

journal_replicator::~journal_replicator()
{
    timer_.reset();
}

journal_content journal_replicator::whole_content()
{
    const std::lock_guard lock(write_mutex_);
    return {journal_->position(), journal_->state()};
}

// ---------------------------------------------------------------------- role

void journal_replicator::set_owner_record(const wire::owner_record& record)
{
    const std::lock_guard write_lock(write_mutex_);
    bool continues = false;
    {
        const std::lock_guard lock(state_mutex_);
        if (record.data_centre() != options_.data_centre ||
            record.epoch() <= record_.epoch() ||
            record.owner() == record.copy())
        {
            return;
        }
        continues =
            active_locked() && record_.incarnation() == record.incarnation();
        activation_ += continues ? 0 : 1;
        record_ = record;
        durable_ = 0;
        lost_ = record.owner() == options_.host; // Until it is activated.
        copy_lost_ = false;
    }
    log_event(log_level::info, "journal_owner_changed",
              {{"data_centre", record.data_centre()},
               {"epoch", std::to_string(record.epoch())},
               {"incarnation", std::to_string(record.incarnation())},
               {"owner", record.owner()},
               {"copy", record.copy()}});
    if (record.owner() == options_.host)
    {
        activate(record, continues);
    }
}

void journal_replicator::activate(const wire::owner_record& record,
                                  bool continues)
{
    auto position = journal_->position();
    const auto epoch = record.epoch();
    if (position.promised_epoch > epoch)
    {
        return; // Already superseded.
    }
    absl::Status status = absl::DataLossError("the journal is not complete");
    if (record.owner_store() != position.store)
    {
        status = absl::DataLossError("the journal was on another store");
    }
    else if (record.incarnation() > position.incarnation)
    {
        position.incarnation = record.incarnation();
        position.promised_epoch = epoch;
        position.complete_epoch = epoch;
        position.last_sequence = 0;
        position.last_epoch = 0;
        status = journal_->replace(position, {});
    }
    else if (record.incarnation() == position.incarnation &&
             position.complete_epoch != 0 &&
             position.complete_epoch + 1 >= epoch)
    {
        status = journal_->append({}, epoch, epoch);
    }
    if (!continues)
    {
        // Records that came as the copy are not among the recent ones.
        recent_.reset(end_of(*journal_));
    }
    const std::lock_guard lock(state_mutex_);
    lost_ = !status.ok();
    if (lost_)
    {
        log_event(log_level::error, "journal_lost",
                  {{"epoch", std::to_string(epoch)},
                   {"reason", std::string(status.message())}});
    }
    else if (record.copy().empty())
    {
        durable_ = journal_->position().last_sequence;
    }
}

bool journal_replicator::active_locked() const
{
    const auto seen =
        std::max(superseded_epoch_, journal_->position().promised_epoch);
    return record_.epoch() != 0 && record_.owner() == options_.host && !lost_ &&
           journal_->writable() && seen <= record_.epoch();
}

bool journal_replicator::owned() const
{
    const std::lock_guard lock(state_mutex_);
    return active_locked();
}

std::uint64_t journal_replicator::epoch() const
{
    const std::lock_guard lock(state_mutex_);
    return record_.epoch();
}

std::uint64_t journal_replicator::incarnation() const
{
    const std::lock_guard lock(state_mutex_);
    return record_.incarnation();
}

bool journal_replicator::copy_lost() const
{
    const std::lock_guard lock(state_mutex_);
    return copy_lost_;
}

void journal_replicator::set_candidate(const std::string& host)
{
    const std::lock_guard lock(state_mutex_);
    candidate_ = host;
}

wire::journal_append_response
journal_replicator::receive(const wire::journal_append& message)
{
    const std::lock_guard write_lock(write_mutex_);
    std::uint64_t known_epoch = 0;
    std::string known_owner;
    {
        const std::lock_guard lock(state_mutex_);
        known_epoch = std::max(record_.epoch(), superseded_epoch_);
        known_owner =
            known_epoch == record_.epoch() ? record_.owner() : message.owner();
    }
    auto response = copy_.receive(message, known_epoch, known_owner);
    if (!response.accepted())
    {
        counters_.add("journal_refused_appends_total");
    }
    return response;
}

wire::journal_status journal_replicator::status() const
{
    const auto position = journal_->position();
    const bool writable = journal_->writable();
    wire::journal_status status;
    status.set_store(position.store);
    status.set_incarnation(position.incarnation);
    status.set_last_sequence(position.last_sequence);
    if (writable)
    {
        // A journal that takes no more records can not be the owner's.
        status.set_complete_epoch(position.complete_epoch);
        status.set_candidate_epoch(copy_.candidate_epoch());
    }
    const std::lock_guard lock(state_mutex_);
    status.set_epoch(record_.epoch());
    if (record_.owner() == options_.host)
    {
        status.set_role(wire::journal_role_owner);
        status.set_lost(lost_ || !writable);
        status.set_copy_lost(copy_lost_);
    }
    else if (record_.copy() == options_.host)
    {
        status.set_role(wire::journal_role_copy);
    }
    return status;
}

std::vector<wire::job_record> journal_replicator::jobs() const
{
    return journal_->jobs().all();
}

std::optional<wire::job_record>
journal_replicator::job(const std::string& id) const
{
    return journal_->jobs().find(id);
}

// --------------------------------------------------------------- replication

std::optional<replication_target>
journal_replicator::target_for(bool candidate) const
{
    const std::lock_guard lock(state_mutex_);
    const auto& host = candidate ? candidate_ : record_.copy();
    if (!active_locked() || host.empty() || host == options_.host ||
        (candidate && !record_.copy().empty()))
    {
        return std::nullopt;
    }
    replication_target target;
    target.host = host;
    target.data_centre = options_.data_centre;
    target.owner = options_.host;
    target.epoch = record_.epoch();
    target.incarnation = record_.incarnation();
    target.copy_store = candidate ? 0 : record_.copy_store();
    target.candidate = candidate;
    return target;
}

absl::Status journal_replicator::commit(std::uint64_t activation, bool confirm)
{
    auto deadline = timers_.now() + options_.copy_timeout;
    while (true)
    {
        const auto state = commit_state(activation, confirm);
        if (!state.ok() || *state)
        {
            return state.status();
        }
        const auto target = target_for(false);
        if (!target)
        {
            continue; // The role changed just now.
        }
        const auto result = copy_sender_.send(*target, options_.append_timeout);
        if (note_result(*target, result))
        {
            confirm = false;
            deadline = timers_.now() + options_.copy_timeout;
            continue;
        }
        if (timers_.now() >= deadline)
        {
            note_copy_lost(*target, result.reason);
            return absl::DeadlineExceededError(
                absl::StrCat("no acknowledgement from the copy ", target->host,
                             ": ", result.reason));
        }
        if (options_.retry_pause.count() > 0)
        {
            std::this_thread::sleep_for(options_.retry_pause);
        }
    }
}

absl::StatusOr<bool> journal_replicator::commit_state(std::uint64_t activation,
                                                      bool confirm)
{
    const std::lock_guard write_lock(write_mutex_);
    const std::lock_guard lock(state_mutex_);
    if (!active_locked() || activation != activation_)
    {
        return absl::UnavailableError("this host does not own the journal");
    }
    const auto last = journal_->position().last_sequence;
    if (record_.copy().empty())
    {
        durable_ = last;
        return true;
    }
    return !confirm && durable_ >= last;
}

bool journal_replicator::note_result(const replication_target& target,
                                     const send_result& result)
{
    const std::lock_guard lock(state_mutex_);
    superseded_epoch_ = std::max(superseded_epoch_, result.peer_epoch);
    if (record_.epoch() != target.epoch || target.candidate)
    {
        return false;
    }
    if (result.peer_has_more)
    {
        // The copy holds acknowledged records that this host has lost.
        lost_ = true;
        log_event(log_level::error, "journal_lost",
                  {{"epoch", std::to_string(target.epoch)},
                   {"reason", "the copy holds more records"}});
    }
    if (!result.accepted)
    {
        return false;
    }
    durable_ = std::max(durable_, result.acknowledged);
    copy_lost_ = false;
    return true;
}

void journal_replicator::note_copy_lost(const replication_target& target,
                                        const std::string& reason)
{
    const std::lock_guard lock(state_mutex_);
    if (record_.epoch() != target.epoch || copy_lost_)
    {
        return;
    }
    copy_lost_ = true;
    log_event(log_level::warning, "journal_copy_lost",
              {{"copy", target.host},
               {"epoch", std::to_string(target.epoch)},
               {"reason", reason}});
}

// ------------------------------------------------------------------ the tick

void journal_replicator::tick()
{
    if (ticking_.exchange(true))
    {
        return;
    }
    check_copy();
    prepare_candidate();
    if (timers_.now() >= next_retention_)
    {
        next_retention_ = timers_.now() + options_.retention_interval;
        apply_retention();
        compact();
    }
    ticking_ = false;
}

void journal_replicator::prepare_candidate()
{
    for (int step = 0; step < candidate_steps; ++step)
    {
        const auto target = target_for(true);
        if (!target)
        {
            candidate_sender_.reset();
            return;
        }
        const auto result =
            candidate_sender_.send(*target, options_.append_timeout);
        note_result(*target, result);
        if (result.accepted && result.acknowledged >= recent_.end().sequence)
        {
            return;
        }
    }
}

void journal_replicator::apply_retention()
{
    if (!owned())
    {
        return;
    }
    const auto position = journal_->position();
    const auto now = options_.wall_clock();
    auto limits = options_.request_retention;
    const auto& requests = journal_->requests();
    const auto bytes = requests.memory_bytes();
    if (bytes > options_.max_request_bytes)
    {
        limits.max_count =
            std::min(limits.max_count,
                     requests.size() * options_.max_request_bytes / bytes);
    }
    const auto issued = requests.issue_times();
    const auto finished = journal_->jobs().finish_times();
    operation work;
    work.mark.set_requests_before_ms(
        retention_time(issued, limits, now, position.requests_before_ms));
    work.mark.set_jobs_before_ms(retention_time(
        finished, options_.job_retention, now, position.jobs_before_ms));
    if (any_before(issued, work.mark.requests_before_ms()) ||
        any_before(finished, work.mark.jobs_before_ms()))
    {
        work.kind = operation_kind::retention;
        run(work);
    }
}

void journal_replicator::compact()
{
    const std::lock_guard lock(write_mutex_);
    const auto compacted = journal_->compact_if_due();
    if (compacted.ok() && *compacted)
    {
        counters_.add("journal_compactions_total");
    }
}

} // namespace limpetstack

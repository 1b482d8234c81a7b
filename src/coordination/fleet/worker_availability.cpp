// Decides from reports and answers which workers may get placements.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

// A worker stays usable when its report is late by at most this much.
constexpr milliseconds report_tolerance{900};

// After a missing answer, holds to the worker use the shortest wait for this
// time, because a lost answer is detected only when the wait is over.
constexpr milliseconds short_holds_time{8000};

} // namespace

const char* name_of(worker_availability availability)
{
    switch (availability)
    {
    case worker_availability::usable:
        return "usable";
    case worker_availability::draining:
        return "draining";
    case worker_availability::avoided:
        return "avoided";
    case worker_availability::refusing:
        return "refusing";
    case worker_availability::unreachable:
        break;
    }
    return "unreachable";
}

void worker_fleet::avoid(const std::string& worker, time_point until)
{
    if (const auto found = workers_.find(worker); found != workers_.end())
    {
        found->second.avoid_until = std::max(found->second.avoid_until, until);
    }
}

// Records an answer of any kind: the worker is up, and what it left unanswered
// before was lost.
void worker_fleet::record_answer(worker_session& worker, time_point now)
{
    answers_ = with_answer(answers_, worker.missed_answers, now);
    counters_.set("lost_answers_share", lost_share(answers_, now));
    worker.missed_answers = 0;
    worker.missed_probability = 1;
    worker.last_contact = now;
    worker.closed_at.reset();
    if (worker.unreachable)
    {
        worker.unreachable = false;
        worker.retry_at = now; // A hold renews the leases.
        due_workers_.insert(worker.record.id());
        log_event(log_level::info, "worker_reachable",
                  {{"worker", worker.record.id()},
                   {"runs", absl::StrCat(worker.runs.size())},
                   {"epoch", absl::StrCat(epoch_)}});
    }
}

// Records an order or a hold without an answer. Where many answers are lost, a
// worker is unreachable only after more of them are missing in a row.
void worker_fleet::record_missing_answer(worker_session& worker,
                                         worker_question question,
                                         time_point now)
{
    ++worker.missed_answers;
    worker.missed_probability = after_missed_answer(
        worker.missed_probability, question, lost_share(answers_, now));
    worker.short_holds_until = now + short_holds_time;
    if (suggests_silence(worker.missed_probability))
    {
        mark_unreachable(worker, now);
    }
}

void worker_fleet::mark_unreachable(worker_session& worker, time_point now)
{
    if (worker.unreachable)
    {
        return;
    }
    worker.unreachable = true;
    worker.unreachable_since = now;
    log_event(log_level::warning, "worker_unreachable",
              {{"worker", worker.record.id()},
               {"missed_answers", absl::StrCat(worker.missed_answers)},
               {"probability", absl::StrCat(worker.missed_probability)},
               {"runs", absl::StrCat(worker.runs.size())},
               {"epoch", absl::StrCat(epoch_)}});
}

bool worker_fleet::is_silent(const worker_session& worker, time_point now) const
{
    const auto silence = now - std::max(worker.last_report, worker.last_answer);
    return silence > 2 * options_.report_interval + report_tolerance;
}

worker_availability worker_fleet::availability(const worker_session& worker,
                                               time_point now) const
{
    if (worker.record.draining() || worker.removed)
    {
        return worker_availability::draining;
    }
    if (!worker.clock.has_reading() || worker.unreachable ||
        worker.replaced_at || is_silent(worker, now))
    {
        return worker_availability::unreachable;
    }
    if (now < worker.refuses_until)
    {
        return worker_availability::refusing;
    }
    return now < worker.avoid_until ? worker_availability::avoided
                                    : worker_availability::usable;
}

bool worker_fleet::is_verified(const worker_session& worker,
                               time_point now) const
{
    return worker.confirmed &&
           (worker.reported ||
            now - began_at_ > options_.report_interval + report_tolerance);
}

bool worker_fleet::is_present(const worker_session& worker,
                              time_point now) const
{
    const auto state = availability(worker, now);
    return state != worker_availability::unreachable &&
           state != worker_availability::draining;
}

} // namespace limpetstack::fleet

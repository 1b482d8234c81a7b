#include "coordination/fleet/policy_tickets.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// Limit of workers in one question, because each adds to the response time.
constexpr std::size_t max_workers_per_question = 30;

// Time added to the policy's decision time to get the timeout of a question.
constexpr milliseconds answer_slack{1000};

// Delay between a question without an answer and the next one about the same
// step.
constexpr milliseconds question_retry_delay{500};

// A ticket is not used this close to its expiry, because it could expire while
// the start is on its way. Of a short validity, a third is left.
constexpr milliseconds max_ticket_margin{300};
constexpr std::int64_t margin_divisor = 3;

// A ticket that has just arrived is used for at least this time, whatever its
// validity: a refusal costs one call, and without the attempt the step would
// never start.
constexpr milliseconds min_ticket_use{5};

// For this time after an answer about a step, another one is expected to come
// soon enough for starts.
constexpr milliseconds answer_memory{2000};

// Delay of the next question after a second refused ticket; the first one may
// only have come too late. The delay doubles with each further refusal, and
// after a time without any, the count starts anew.
constexpr milliseconds first_refusal_delay{50};
constexpr int max_refusal_doublings = 5;
constexpr milliseconds refusal_memory{10000};

milliseconds ticket_margin(milliseconds validity)
{
    return std::min(max_ticket_margin, validity / margin_divisor);
}

milliseconds refusal_delay(int earlier_refusals)
{
    return earlier_refusals == 0
               ? milliseconds(0)
               : first_refusal_delay * (1 << std::min(earlier_refusals - 1,
                                                      max_refusal_doublings));
}

// Returns until when a ticket is used. Its validity may have begun when the
// question was sent; a question that waited for others took longer than that.
time_point end_of_use(milliseconds validity, time_point asked_at,
                      time_point answered_at)
{
    const auto margin = ticket_margin(validity);
    return std::max(asked_at + validity - margin,
                    answered_at + std::max(margin, min_ticket_use));
}

} // namespace

policy_tickets::policy_tickets(policy_port& port, clock_reader clock,
                               std::function<void()> on_answer,
                               metrics& counters)
    : port_(port)
    , clock_(std::move(clock))
    , on_answer_(std::move(on_answer))
    , counters_(counters)
{
}

const policy_tickets::decision*
policy_tickets::find_decision(const step_key& step,
                              const policy_candidate& worker) const
{
    const auto known = steps_.find(step);
    if (known == steps_.end())
    {
        return nullptr;
    }
    const auto found = known->second.workers.find(worker.worker);
    return found != known->second.workers.end() &&
                   found->second.born_ms == worker.born_ms
               ? &found->second
               : nullptr;
}

const std::string* policy_tickets::find(const step_key& step,
                                        const policy_candidate& worker,
                                        time_point now) const
{
    const auto* const known = find_decision(step, worker);
    return known != nullptr && known->allowed && now < known->valid_until
               ? &known->ticket
               : nullptr;
}

bool policy_tickets::may_place(const step_key& step,
                               const policy_candidate& worker,
                               time_point now) const
{
    const auto* const known = find_decision(step, worker);
    return known != nullptr && known->allowed &&
           (now < known->valid_until ||
            now < steps_.at(step).answered_at + answer_memory);
}

void policy_tickets::ask(const step_key& step, const ticket_policy& policy,
                         const std::vector<policy_candidate>& candidates,
                         time_point now)
{
    std::vector<policy_candidate> asked;
    for (const auto& candidate : candidates)
    {
        // A refusal of the policy stays in force for the worker's life.
        const auto* const known = find_decision(step, candidate);
        if (known == nullptr ||
            (known->allowed && !may_place(step, candidate, now)))
        {
            asked.push_back(candidate);
        }
    }
    send(step, policy, std::move(asked), now);
}

void policy_tickets::renew(const step_key& step, const ticket_policy& policy,
                           const std::vector<policy_candidate>& candidates,
                           time_point now)
{
    std::vector<policy_candidate> asked;
    for (const auto& candidate : candidates)
    {
        if (find(step, candidate, now) == nullptr)
        {
            asked.push_back(candidate);
        }
    }
    send(step, policy, std::move(asked), now);
}

void policy_tickets::send(const step_key& step, const ticket_policy& policy,
                          std::vector<policy_candidate> asked, time_point now)
{
    auto& known = steps_[step];
    if (asked.empty() || known.question_open || now < known.retry_at)
    {
        return;
    }
    asked.resize(std::min(asked.size(), max_workers_per_question));
    policy_question question{
        std::get<0>(step), std::get<1>(step), std::get<2>(step), {}};
    for (const auto& candidate : asked)
    {
        question.workers.push_back(candidate.worker);
    }
    known.question_open = true;
    const milliseconds timeout(policy.decision_ms +
                               policy.per_worker_ms *
                                   static_cast<std::int64_t>(asked.size()) +
                               answer_slack.count());
    counters_.add("policy_questions_total");
    log_event(log_level::info, "policy_asked",
              {{"job", question.job},
               {"step", absl::StrCat(question.step)},
               {"workers", absl::StrCat(asked.size())}});
    port_.ask(
        question, timeout,
        [this, step, policy, asked = std::move(asked), now,
         alive = std::weak_ptr<int>(alive_)](const policy_port::answer& answer)
        {
            if (!alive.expired())
            {
                record_answer(step, policy, asked, now, answer);
            }
        });
}

void policy_tickets::record_answer(const step_key& step,
                                   const ticket_policy& policy,
                                   const std::vector<policy_candidate>& asked,
                                   time_point asked_at,
                                   const policy_port::answer& answer)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
    {
        return;
    }
    const auto now = clock_();
    auto& known = found->second;
    known.question_open = false;
    const auto valid_until =
        end_of_use(milliseconds(policy.valid_ms), asked_at, now);
    log_event(answer ? log_level::info : log_level::warning, "policy_answered",
              {{"job", std::get<0>(step)},
               {"step", absl::StrCat(std::get<2>(step))},
               {"asked", absl::StrCat(asked.size())},
               {"allowed", answer ? absl::StrCat(answer->size()) : "unknown"},
               {"answer_ms", absl::StrCat((now - asked_at).count())},
               {"valid_ms", absl::StrCat(policy.valid_ms)},
               {"usable_ms", absl::StrCat((valid_until - now).count())}});
    counters_.add(answer ? "policy_answers_total{result=\"answered\"}"
                         : "policy_answers_total{result=\"unknown\"}");
    counters_.observe_latency("policy_answer_ms",
                              static_cast<double>((now - asked_at).count()));
    if (!answer)
    {
        known.retry_at = now + question_retry_delay;
        return;
    }
    known.answered_at = now;
    for (const auto& candidate : asked)
    {
        const auto ticket =
            std::find_if(answer->begin(), answer->end(),
                         [&](const policy_ticket& item)
                         {
                             return item.worker == candidate.worker;
                         });
        auto& decision = known.workers[candidate.worker];
        decision.born_ms = candidate.born_ms;
        decision.allowed = ticket != answer->end();
        decision.ticket = decision.allowed ? ticket->ticket : "";
        decision.answered_at = now;
        decision.valid_until = valid_until;
    }
    on_answer_();
}

void policy_tickets::refuse(const step_key& step, const std::string& worker,
                            time_point now)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
    {
        return;
    }
    auto& known = found->second;
    if (now - known.refused_at > refusal_memory)
    {
        known.refusals = 0;
    }
    const auto delay = refusal_delay(known.refusals);
    ++known.refusals;
    known.refused_at = now;
    known.retry_at = std::max(known.retry_at, now + delay);
    const auto at = known.workers.find(worker);
    log_event(
        log_level::warning, "ticket_refused",
        {{"job", std::get<0>(step)},
         {"step", absl::StrCat(std::get<2>(step))},
         {"worker", worker},
         {"age_ms", at == known.workers.end()
                        ? "unknown"
                        : absl::StrCat((now - at->second.answered_at).count())},
         {"refusals", absl::StrCat(known.refusals)},
         {"retry_ms", absl::StrCat(delay.count())}});
    counters_.add("tickets_refused_total");
    if (at != known.workers.end())
    {
        at->second.valid_until = now;
    }
}

void policy_tickets::drop(const step_key& step, const std::string& worker)
{
    if (const auto found = steps_.find(step); found != steps_.end())
    {
        found->second.workers.erase(worker);
    }
}

void policy_tickets::forget(const std::string& job)
{
    const auto first = steps_.lower_bound({job, 0, 0});
    auto last = first;
    while (last != steps_.end() && std::get<0>(last->first) == job)
    {
        ++last;
    }
    steps_.erase(first, last);
}

} // namespace limpetstack::fleet

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

// A ticket is not used this close to its expiry: it could expire while the
// start request is on its way, and the worker would refuse it.
constexpr milliseconds ticket_margin{300};

} // namespace

policy_tickets::policy_tickets(policy_port& port, clock_reader clock,
                               std::function<void()> on_answer)
    : port_(port)
    , clock_(std::move(clock))
    , on_answer_(std::move(on_answer))
{
}

const std::string* policy_tickets::find(const step_key& step,
                                        const policy_candidate& worker,
                                        time_point now) const
{
    const auto known = steps_.find(step);
    if (known == steps_.end())
    {
        return nullptr;
    }
    const auto found = known->second.workers.find(worker.worker);
    return found != known->second.workers.end() && found->second.allowed &&
                   found->second.born_ms == worker.born_ms &&
                   now < found->second.valid_until
               ? &found->second.ticket
               : nullptr;
}

// Returns true when the worker needs no question: a refusal stays in force for
// the worker's incarnation, while an expired ticket is requested again.
bool policy_tickets::is_known(const step_decisions& step,
                              const policy_candidate& worker,
                              time_point now) const
{
    const auto found = step.workers.find(worker.worker);
    return found != step.workers.end() &&
           found->second.born_ms == worker.born_ms &&
           (!found->second.allowed || now < found->second.valid_until);
}

void policy_tickets::ask(const step_key& step, const ticket_policy& policy,
                         const std::vector<policy_candidate>& candidates,
                         time_point now)
{
    auto& known = steps_[step];
    if (known.question_open || now < known.retry_at)
    {
        return;
    }
    std::vector<policy_candidate> asked;
    policy_question question{
        std::get<0>(step), std::get<1>(step), std::get<2>(step), {}};
    for (const auto& candidate : candidates)
    {
        if (asked.size() < max_workers_per_question &&
            !is_known(known, candidate, now))
        {
            asked.push_back(candidate);
            question.workers.push_back(candidate.worker);
        }
    }
    if (asked.empty())
    {
        return;
    }
    known.question_open = true;
    const milliseconds timeout(policy.decision_ms +
                               policy.per_worker_ms *
                                   static_cast<std::int64_t>(asked.size()) +
                               answer_slack.count());
    log_event(log_level::info, "policy_asked",
              {{"job", question.job},
               {"step", absl::StrCat(question.step)},
               {"workers", absl::StrCat(asked.size())}});
    port_.ask(
        question, timeout,
        [this, step, policy, asked = std::move(asked),
         alive = std::weak_ptr<int>(alive_)](const policy_port::answer& answer)
        {
            if (!alive.expired())
            {
                record_answer(step, policy, asked, answer);
            }
        });
}

void policy_tickets::record_answer(const step_key& step,
                                   const ticket_policy& policy,
                                   const std::vector<policy_candidate>& asked,
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
    log_event(answer ? log_level::info : log_level::warning, "policy_answered",
              {{"job", std::get<0>(step)},
               {"step", absl::StrCat(std::get<2>(step))},
               {"asked", absl::StrCat(asked.size())},
               {"allowed", answer ? absl::StrCat(answer->size()) : "unknown"}});
    if (!answer)
    {
        known.retry_at = now + question_retry_delay;
        return;
    }
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
        decision.valid_until =
            now + milliseconds(policy.valid_ms) - ticket_margin;
    }
    on_answer_();
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

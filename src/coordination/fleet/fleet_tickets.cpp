// Questions to the policies of queues, and the tickets that starts carry.
#include "coordination/fleet/fleet_scheduler.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{

// Returns the policy of the job's queue, null when it has none.
const ticket_policy* fleet_scheduler::policy_of(const job_state& job) const
{
    const auto found = queues_.find(job.job.queue());
    return found != queues_.end() && found->second->policy
               ? &*found->second->policy
               : nullptr;
}

policy_tickets::step_key fleet_scheduler::step_of(const run_ref& run)
{
    return {run.job(), run.occurrence(), run.step()};
}

// Returns the ticket for a start of the run, an empty one without a policy.
std::optional<std::string> fleet_scheduler::ticket_of(const placed_run& run,
                                                      time_point now) const
{
    const auto* const job = state_.find_job(run.ref.job());
    if (job == nullptr || policy_of(*job) == nullptr)
    {
        return std::string();
    }
    const auto* const ticket =
        tickets_.find(step_of(run.ref),
                      {run.incarnation.worker, run.incarnation.born_ms}, now);
    return ticket == nullptr ? std::nullopt
                             : std::optional<std::string>(*ticket);
}

// Asks for new tickets, one question for each step.
void fleet_scheduler::renew_tickets(const std::vector<placed_run>& runs,
                                    time_point now)
{
    std::map<policy_tickets::step_key, std::vector<policy_candidate>> steps;
    for (const auto& run : runs)
    {
        auto& candidates = steps[step_of(run.ref)];
        const auto& incarnation = run.incarnation;
        const bool added =
            std::any_of(candidates.begin(), candidates.end(),
                        [&](const policy_candidate& candidate)
                        {
                            return candidate.worker == incarnation.worker;
                        });
        if (!added)
        {
            candidates.push_back({incarnation.worker, incarnation.born_ms});
        }
    }
    for (const auto& [step, candidates] : steps)
    {
        const auto* const job = state_.find_job(std::get<0>(step));
        const auto* const policy = job == nullptr ? nullptr : policy_of(*job);
        if (policy != nullptr)
        {
            tickets_.renew(step, *policy, candidates, now);
        }
    }
}

// Asks the queue's policy about the workers that could take the step: workers
// in the preferred rack first, then those with the most free capacity, and
// workers of last resort at the end.
void fleet_scheduler::ask_policy(const pending_step_key& key,
                                 const pending_step& item,
                                 placement_request request, time_point now)
{
    request.allowed.reset();
    std::vector<std::tuple<bool, bool, std::int64_t, const worker_record*>>
        order;
    for (const auto& candidate : candidates_)
    {
        const auto& record = candidate.worker->record;
        if (is_eligible(candidate, request) &&
            count_fitting(candidate, candidate.worker->capacity, request) > 0)
        {
            order.emplace_back(candidate.last_resort,
                               record.rack() != request.preferred_rack,
                               -static_cast<std::int64_t>(count_fitting(
                                   candidate, candidate.free, request)),
                               &record);
        }
    }
    std::stable_sort(
        order.begin(), order.end(),
        [](const auto& a, const auto& b)
        {
            return std::tie(std::get<0>(a), std::get<1>(a), std::get<2>(a)) <
                   std::tie(std::get<0>(b), std::get<1>(b), std::get<2>(b));
        });
    std::vector<policy_candidate> policy_candidates;
    policy_candidates.reserve(order.size());
    for (const auto& [last_resort, other_rack, free_slots, record] : order)
    {
        policy_candidates.push_back({record->id(), record->born_ms()});
    }
    tickets_.ask(key, *item.queue.policy, policy_candidates, now);
}

} // namespace limpetstack::fleet

// Implements the part of `fleet_service` that answers repeated calls: calls of
// which an earlier sending may have had an effect.
#include "coordination/fleet/fleet_answers.hpp"
#include "coordination/fleet/fleet_service.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstddef>

namespace limpetstack::fleet
{
namespace
{

// Job ids are shorter, so that longer endings of a path need no search.
constexpr std::size_t max_job_id_bytes = 256;

// What the earlier sendings of a refused call have done.
enum class earlier_effect
{
    none,
    accepted, // Its job was accepted for this call.
    unknown
};

earlier_effect effect_of_earlier_sendings(const forwarded_call& call,
                                          const job_state* job)
{
    if (job == nullptr)
    {
        return earlier_effect::none;
    }
    if (call.method() == "DELETE")
    {
        // Who cancelled a job is not recorded.
        return job->cancelled ? earlier_effect::unknown : earlier_effect::none;
    }
    if (job->job.origin() == 0)
    {
        // Earlier versions do not record the call of a job.
        return earlier_effect::unknown;
    }
    return job->job.origin() == call.origin() && job->job.call() == call.id()
               ? earlier_effect::accepted
               : earlier_effect::none;
}

const char* name_of(earlier_effect effect)
{
    switch (effect)
    {
    case earlier_effect::none:
        return "no_effect";
    case earlier_effect::accepted:
        return "accepted";
    default:
        return "unknown";
    }
}

} // namespace

void fleet_service::handle_repeated(const forwarded_call& call,
                                    const answer_handler& done)
{
    handle_caller(
        call,
        [this, call = without_body(call), done](const forwarded_answer& answer)
        {
            if (is_refusal(answer))
            {
                confirm_refusal(call, answer, done);
            }
            else
            {
                done(answer);
            }
        });
}

// A refusal says that this sending of the call had no effect. Once a barrier is
// applied, the state shows what the earlier sendings did: the entries of
// earlier leaders and all earlier proposals of this one precede it, and the
// fence admits none of the sendings any more.
void fleet_service::confirm_refusal(const forwarded_call& call,
                                    const forwarded_answer& refusal,
                                    const answer_handler& done)
{
    fleet_command command;
    command.mutable_barrier();
    propose(std::move(command), done,
            [this, call, refusal](apply_result)
            {
                return answer_for_all_sendings(call, refusal);
            });
}

forwarded_answer
fleet_service::answer_for_all_sendings(const forwarded_call& call,
                                       const forwarded_answer& refusal) const
{
    const auto effect =
        effect_of_earlier_sendings(call, find_named_job(call.target()));
    auto answer = effect == earlier_effect::accepted  ? json_answer(200)
                  : effect == earlier_effect::unknown ? outcome_unknown_answer()
                                                      : refusal;
    answer.set_covers_all_sendings(true);
    log_event(log_level::info, "repeated_call",
              {{"target", call.target()},
               {"method", call.method()},
               {"status", absl::StrCat(answer.status())},
               {"earlier_sendings", name_of(effect)}});
    return answer;
}

// Returns the job that the path ends with, or null. The queue that the path
// begins with may not exist any more.
const job_state* fleet_service::find_named_job(const std::string& target) const
{
    const auto path = target.substr(0, target.find('?'));
    const auto first = path.size() - std::min(path.size(), max_job_id_bytes);
    for (auto at = first; at < path.size(); ++at)
    {
        if (const auto* const job = state_.find_job(path.substr(at)))
        {
            return job;
        }
    }
    return nullptr;
}

} // namespace limpetstack::fleet

#include "coordination/fleet/fleet_service.hpp"

#include "base/log.hpp"
#include "coordination/fleet/fleet_answers.hpp"
#include "state/job_cost.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

// To find when a job is forgotten, all jobs are searched at most this often for
// each holder.
constexpr milliseconds expected_room_age{1000};

// While no job of the holder has ended, it is not known when one will be
// forgotten.
constexpr milliseconds default_time_until_room{5000};

} // namespace

job_phase phase_of(const job_state& job)
{
    if (job.cancelled)
    {
        return job_phase::cancelled;
    }
    if (job.failed)
    {
        return job_phase::failed;
    }
    if (job.complete ||
        job.done_occurrences >= occurrence_count(job.job.spec()))
    {
        return job_phase::complete;
    }
    return job.started ? job_phase::running : job_phase::queued;
}

fleet_service::fleet_service(const external_protocol& protocol,
                             const fleet_state& state,
                             fleet_service_dependencies dependencies)
    : protocol_(protocol)
    , state_(state)
    , dependencies_(std::move(dependencies))
{
}

void fleet_service::handle(const forwarded_call& call,
                           const answer_handler& done)
{
    if (!call.from_caller())
    {
        handle_control(call, done);
        return;
    }
    if (!fence_.admit(call, dependencies_.term()))
    {
        ++superseded_calls_;
        log_event(log_level::info, "call_superseded",
                  {{"target", call.target()},
                   {"method", call.method()},
                   {"sent_to_term", absl::StrCat(call.term())},
                   {"term", absl::StrCat(dependencies_.term())}});
        done(not_leader_answer());
        return;
    }
    if (call.repeated() && call.method() != "GET")
    {
        handle_repeated(call, done);
        return;
    }
    handle_caller(call, done);
}

void fleet_service::propose(
    fleet_command command, const answer_handler& done,
    std::function<forwarded_answer(apply_result)> answer)
{
    dependencies_.propose(std::move(command),
                          [done, answer = std::move(answer)](
                              proposal_outcome outcome, apply_result result)
                          {
                              if (outcome == proposal_outcome::applied)
                              {
                                  done(answer(result));
                                  return;
                              }
                              if (outcome == proposal_outcome::unknown)
                              {
                                  done(outcome_unknown_answer());
                                  return;
                              }
                              done(not_leader_answer());
                          });
}

fleet_service::selected_queue
fleet_service::select_queue(const std::string& host,
                            const std::string& target) const
{
    selected_queue longest_match;
    const auto path = target.substr(0, target.find('?'));
    for (const auto& queue : dependencies_.document()->queues)
    {
        if (queue.host == host &&
            path.compare(0, queue.prefix.size(), queue.prefix) == 0 &&
            (longest_match.queue == nullptr ||
             queue.prefix.size() > longest_match.queue->prefix.size()))
        {
            longest_match = {&queue, path.substr(queue.prefix.size())};
        }
    }
    return longest_match;
}

bool fleet_service::authorize(const forwarded_call& call,
                              const queue_config& queue,
                              std::string& account) const
{
    const auto key = protocol_.decode_key(call.authorization());
    const auto& keys = dependencies_.document()->account_of_key;
    const auto found = keys.find(key);
    if (found != keys.end())
    {
        account = found->second;
        return true;
    }
    return queue.public_access;
}

void fleet_service::handle_caller(const forwarded_call& call,
                                  const answer_handler& done)
{
    if (dependencies_.document() == nullptr)
    {
        answer_confirmed(call, done);
        return;
    }
    const auto selected = select_queue(call.host(), call.target());
    std::string account;
    if (selected.queue == nullptr ||
        !authorize(call, *selected.queue, account) ||
        !protocol_.is_job_id(selected.path_suffix) || call.method() == "GET")
    {
        answer_confirmed(call, done);
        return;
    }
    if (call.method() == "POST")
    {
        submit(call, *selected.queue, account, selected.path_suffix, done);
    }
    else if (call.method() == "DELETE")
    {
        cancel(selected.path_suffix, done);
    }
    else
    {
        done(json_answer(405));
    }
}

// Answers from the fleet's state once a majority has confirmed that the state
// is current.
void fleet_service::answer_confirmed(const forwarded_call& call,
                                     const answer_handler& done)
{
    dependencies_.read(
        [this, call = without_body(call), done](bool confirmed)
        {
            if (!confirmed)
            {
                done(not_leader_answer());
                return;
            }
            done(answer_from_state(call));
        });
}

forwarded_answer
fleet_service::answer_from_state(const forwarded_call& call) const
{
    if (dependencies_.document() == nullptr)
    {
        return retry_later_answer();
    }
    const auto selected = select_queue(call.host(), call.target());
    if (selected.queue == nullptr)
    {
        return json_answer(404, protocol_.encode_error("no such queue"));
    }
    std::string account;
    if (!authorize(call, *selected.queue, account))
    {
        return json_answer(401, protocol_.encode_error("unknown key"));
    }
    if (selected.path_suffix.empty() && call.method() == "GET")
    {
        return count_pending(selected.queue->name);
    }
    if (!protocol_.is_job_id(selected.path_suffix))
    {
        return json_answer(400, protocol_.encode_error(
                                    "a job's id has 16 hexadecimal digits"));
    }
    if (call.method() != "GET")
    {
        // The document has changed since `handle_caller` examined the call;
        // the call must be sent again to be handled by the new document.
        return retry_later_answer();
    }
    const auto* const job = state_.find_job(selected.path_suffix);
    if (job == nullptr)
    {
        return json_answer(410, protocol_.encode_error("no such job"));
    }
    return json_answer(
        200, protocol_.encode_job(phase_of(*job), job->failure_reason));
}

forwarded_answer fleet_service::count_pending(const std::string& queue) const
{
    std::uint64_t pending = 0;
    for (const auto& [id, job] : state_.jobs())
    {
        if (job.job.queue() == queue && !job.started && !job.ended())
        {
            ++pending;
        }
    }
    return json_answer(200, protocol_.encode_pending(pending));
}

void fleet_service::submit(const forwarded_call& call,
                           const queue_config& queue,
                           const std::string& account, const std::string& id,
                           const answer_handler& done)
{
    if (state_.find_job(id) != nullptr)
    {
        // The state holds only committed jobs, so this job is already accepted.
        done(json_answer(200));
        return;
    }
    auto spec = protocol_.decode_job(call.body());
    if (!spec.ok())
    {
        done(json_answer(
            400, protocol_.encode_error(std::string(spec.status().message()))));
        return;
    }
    fleet_command command;
    auto& job = *command.mutable_accept();
    job.set_id(id);
    job.set_queue(queue.name);
    job.set_account(account);
    job.set_service(queue.service);
    job.set_accepted_ms(dependencies_.wall_ms());
    job.set_priority(queue.priority);
    job.set_attempts(queue.attempts);
    job.set_stretch(queue.stretch);
    job.set_allowance_ms(queue.allowance_ms);
    job.set_origin(call.origin());
    job.set_call(call.id());
    *job.mutable_spec() = std::move(*spec);
    const auto holder = holder_of(job);
    const auto cost = job_cost(job);
    if (!proposed_.contains(id) && !has_room(room_for(holder), cost))
    {
        done(refuse_job(job, cost));
        return;
    }
    proposed_.add(id, holder, cost);
    std::int64_t subtasks = 0;
    std::int64_t accelerators = 0;
    for (const auto& step : job.spec().steps())
    {
        subtasks += step.subtask_count();
        accelerators += step.subtask_count() * step.need().accelerators();
    }
    propose(
        std::move(command),
        [this, id, done](const forwarded_answer& answer)
        {
            proposed_.remove(id);
            done(answer);
        },
        [id, queue = queue.name, account, subtasks, accelerators,
         version = dependencies_.document()->version](apply_result result)
        {
            log_event(
                log_level::info, "job_accepted",
                {{"job", id},
                 {"queue", queue},
                 {"account", account},
                 {"subtasks", absl::StrCat(subtasks)},
                 {"accelerators", absl::StrCat(accelerators)},
                 {"document", absl::StrCat(version)},
                 {"repeated", result == apply_result::changed ? "no" : "yes"}});
            return json_answer(200);
        });
}

job_room fleet_service::room_for(const job_holder& holder) const
{
    return {dependencies_.job_room_limit(),
            state_.jobs_cost() + proposed_.cost(),
            state_.jobs_cost(holder) + proposed_.cost(holder)};
}

// Answers that the job was not accepted, and when to come back.
forwarded_answer fleet_service::refuse_job(const accepted_job& job,
                                           std::size_t cost)
{
    ++jobs_without_room_;
    const auto holder = holder_of(job);
    auto answer = json_answer(
        503, protocol_.encode_error(
                 "too many jobs are kept for this account or queue"));
    answer.set_retry_after_ms(
        static_cast<std::uint32_t>(time_until_room(holder).count()));
    const auto now = dependencies_.wall_ms();
    if (std::abs(now - refusal_logged_ms_) >= refusal_log_interval.count())
    {
        refusal_logged_ms_ = now;
        const auto room = room_for(holder);
        log_event(log_level::warning, "job_room_exhausted",
                  {{"job", job.id()},
                   {"queue", job.queue()},
                   {"account", job.account()},
                   {"cost_bytes", absl::StrCat(cost)},
                   {"kept_for_holder_bytes", absl::StrCat(room.kept_by_holder)},
                   {"kept_bytes", absl::StrCat(room.kept)},
                   {"limit_bytes", absl::StrCat(room.limit)},
                   {"retry_after_ms", absl::StrCat(answer.retry_after_ms())},
                   {"refused", absl::StrCat(jobs_without_room_)}});
    }
    return answer;
}

// Returns the time until the next job of the holder is forgotten.
milliseconds fleet_service::time_until_room(const job_holder& holder)
{
    const auto now = dependencies_.wall_ms();
    auto& expected = expected_room_[holder];
    if (std::abs(now - expected.computed_ms) >= expected_room_age.count())
    {
        expected = {now, now + default_time_until_room.count()};
        std::int64_t first_end = std::numeric_limits<std::int64_t>::max();
        for (const auto& [id, job] : state_.jobs())
        {
            if (job.finished_ms > 0 && job.finished_ms < first_end &&
                holder_of(job.job) == holder)
            {
                first_end = job.finished_ms;
                expected.at_ms =
                    first_end + dependencies_.ended_job_retention.count();
            }
        }
    }
    return std::clamp(milliseconds(expected.at_ms - now),
                      milliseconds(retry_after_ms),
                      dependencies_.ended_job_retention);
}

void fleet_service::cancel(const std::string& id, const answer_handler& done)
{
    fleet_command command;
    command.mutable_cancel()->set_job(id);
    propose(std::move(command), done,
            [id](apply_result result)
            {
                log_event(log_level::info, "job_cancel",
                          {{"job", id},
                           {"known",
                            result == apply_result::refused ? "no" : "yes"}});
                return json_answer(result == apply_result::refused ? 410 : 200);
            });
}

} // namespace limpetstack::fleet

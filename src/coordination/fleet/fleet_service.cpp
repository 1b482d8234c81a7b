#include "coordination/fleet/fleet_service.hpp"

#include "base/log.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <utility>

namespace limpetstack::fleet
{
namespace
{

// When callers may come back after a refusal.
constexpr std::uint32_t retry_after_ms = 1000;

forwarded_answer plain(unsigned status, std::string body = "{}")
{
    forwarded_answer answer;
    answer.set_status(status);
    answer.set_body(std::move(body));
    return answer;
}

forwarded_answer unavailable()
{
    auto answer = plain(503);
    answer.set_retry_after_ms(retry_after_ms);
    return answer;
}

// The outcome is not known: the call may have had its effect.
forwarded_answer undecided()
{
    return plain(504);
}

bool same_report(const worker_record& known, const worker_record& reported)
{
    return known.SerializeAsString() == reported.SerializeAsString();
}

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
                             fleet_service_parts parts)
    : protocol_(protocol)
    , state_(state)
    , parts_(std::move(parts))
{
}

void fleet_service::handle(const forwarded_call& call,
                           const answer_handler& done)
{
    if (call.from_caller())
    {
        handle_caller(call, done);
    }
    else
    {
        handle_control(call, done);
    }
}

void fleet_service::propose(fleet_command command, const answer_handler& done,
                            std::function<forwarded_answer(applied)> answer)
{
    parts_.propose(std::move(command),
                   [done, answer = std::move(answer)](proposal_outcome outcome,
                                                      applied result)
                   {
                       if (outcome == proposal_outcome::applied)
                       {
                           done(answer(result));
                           return;
                       }
                       if (outcome == proposal_outcome::unknown)
                       {
                           done(undecided());
                           return;
                       }
                       forwarded_answer retry;
                       retry.set_not_leader(true);
                       done(retry);
                   });
}

// ------------------------------------------------------------------- callers

fleet_service::selected_queue
fleet_service::select(const std::string& host, const std::string& target) const
{
    selected_queue best;
    const auto path = target.substr(0, target.find('?'));
    for (const auto& queue : parts_.document()->queues)
    {
        if (queue.host == host &&
            path.compare(0, queue.prefix.size(), queue.prefix) == 0 &&
            (best.queue == nullptr ||
             queue.prefix.size() > best.queue->prefix.size()))
        {
            best = {&queue, path.substr(queue.prefix.size())};
        }
    }
    return best;
}

bool fleet_service::authorize(const forwarded_call& call,
                              const queue_config& queue,
                              std::string& account) const
{
    const auto key = protocol_.decode_key(call.authorization());
    const auto& keys = parts_.document()->account_of_key;
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
    if (parts_.document() == nullptr)
    {
        answer_current(call, done);
        return;
    }
    const auto selected = select(call.host(), call.target());
    std::string account;
    if (selected.queue == nullptr ||
        !authorize(call, *selected.queue, account) ||
        !protocol_.is_job_id(selected.rest) || call.method() == "GET")
    {
        answer_current(call, done);
        return;
    }
    if (call.method() == "POST")
    {
        submit(call, *selected.queue, account, selected.rest, done);
    }
    else if (call.method() == "DELETE")
    {
        cancel(selected.rest, done);
    }
    else
    {
        done(plain(405));
    }
}

// Answers from the state after a majority has confirmed that it is current.
void fleet_service::answer_current(const forwarded_call& call,
                                   const answer_handler& done)
{
    parts_.read(
        [this, call, done](bool confirmed)
        {
            if (!confirmed)
            {
                forwarded_answer retry;
                retry.set_not_leader(true);
                done(retry);
                return;
            }
            done(describe(call));
        });
}

forwarded_answer fleet_service::describe(const forwarded_call& call) const
{
    if (parts_.document() == nullptr)
    {
        return unavailable();
    }
    const auto selected = select(call.host(), call.target());
    if (selected.queue == nullptr)
    {
        return plain(404, protocol_.encode_error("no such queue"));
    }
    std::string account;
    if (!authorize(call, *selected.queue, account))
    {
        return plain(401, protocol_.encode_error("unknown key"));
    }
    if (selected.rest.empty() && call.method() == "GET")
    {
        return count_pending(selected.queue->name);
    }
    if (!protocol_.is_job_id(selected.rest))
    {
        return plain(400, protocol_.encode_error(
                              "a job's id has 16 hexadecimal digits"));
    }
    if (call.method() != "GET")
    {
        // The document changed between the two looks at it.
        return unavailable();
    }
    const auto* const job = state_.find_job(selected.rest);
    if (job == nullptr)
    {
        return plain(410, protocol_.encode_error("no such job"));
    }
    return plain(200, protocol_.encode_phase(phase_of(*job)));
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
    return plain(200, protocol_.encode_pending(pending));
}

void fleet_service::submit(const forwarded_call& call,
                           const queue_config& queue,
                           const std::string& account, const std::string& id,
                           const answer_handler& done)
{
    if (state_.find_job(id) != nullptr)
    {
        done(plain(200)); // The state holds only committed jobs.
        return;
    }
    auto spec = protocol_.decode_job(call.body());
    if (!spec.ok())
    {
        done(plain(
            400, protocol_.encode_error(std::string(spec.status().message()))));
        return;
    }
    fleet_command command;
    auto& job = *command.mutable_accept();
    job.set_id(id);
    job.set_queue(queue.name);
    job.set_account(account);
    job.set_service(queue.service);
    job.set_accepted_ms(parts_.wall_ms());
    job.set_priority(queue.priority);
    job.set_attempts(queue.attempts);
    job.set_stretch(queue.stretch);
    job.set_allowance_ms(queue.allowance_ms);
    *job.mutable_spec() = std::move(*spec);
    propose(std::move(command), done,
            [id, queue = queue.name, account,
             version = parts_.document()->version](applied result)
            {
                log_event(
                    log_level::info, "job_accepted",
                    {{"job", id},
                     {"queue", queue},
                     {"account", account},
                     {"document", absl::StrCat(version)},
                     {"repeated", result == applied::changed ? "no" : "yes"}});
                return plain(200);
            });
}

void fleet_service::cancel(const std::string& id, const answer_handler& done)
{
    fleet_command command;
    command.mutable_cancel()->set_job(id);
    propose(std::move(command), done,
            [id](applied result)
            {
                log_event(
                    log_level::info, "job_cancel",
                    {{"job", id},
                     {"known", result == applied::refused ? "no" : "yes"}});
                return plain(result == applied::refused ? 410 : 200);
            });
}

// ------------------------------------------------------------------- control

void fleet_service::handle_control(const forwarded_call& call,
                                   const answer_handler& done)
{
    const auto target = protocol_.decode_target(call.method(), call.target());
    switch (target.kind)
    {
    case control_request::report_worker:
        report(call, target.id, done);
        break;
    case control_request::remove_worker:
        remove(call, target.id, done);
        break;
    case control_request::put_document:
        put_document(call, done);
        break;
    case control_request::get_document:
        parts_.read(
            [this, done](bool confirmed)
            {
                if (!confirmed)
                {
                    forwarded_answer retry;
                    retry.set_not_leader(true);
                    done(retry);
                    return;
                }
                done(state_.document().version() == 0
                         ? unavailable()
                         : plain(200, state_.document().text()));
            });
        break;
    case control_request::start_wave:
        start_wave(call, done);
        break;
    case control_request::wave_state:
        wave_state(target.id, done);
        break;
    case control_request::unknown:
        done(plain(404));
        break;
    }
}

void fleet_service::report(const forwarded_call& call, const std::string& id,
                           const answer_handler& done)
{
    const auto report = protocol_.decode_report(id, call.body());
    if (!report.ok())
    {
        log_event(log_level::warning, "report_refused",
                  {{"worker", id},
                   {"reason", std::string(report.status().message())}});
        done(plain(400, protocol_.encode_error(
                            std::string(report.status().message()))));
        return;
    }
    auto accepted =
        plain(200, protocol_.encode_report_answer(parts_.report_address));
    const auto known = state_.workers().find(id);
    auto record = report->worker;
    if (known != state_.workers().end())
    {
        if (record.born_ms() < known->second.born_ms())
        {
            // A report of an earlier incarnation says nothing any more.
            done(accepted);
            return;
        }
        if (record.born_ms() == known->second.born_ms())
        {
            // A worker that drains does not come back; a report that was
            // delayed may still say that it is ready.
            record.set_draining(record.draining() || known->second.draining());
            if (same_report(known->second, record))
            {
                parts_.note_report(*report);
                done(accepted);
                return;
            }
        }
    }
    log_event(log_level::info, "worker_reported",
              {{"worker", id},
               {"born_ms", absl::StrCat(record.born_ms())},
               {"address", record.address()},
               {"state", record.draining() ? "draining" : "ready"},
               {"sequence", absl::StrCat(report->sequence)}});
    fleet_command command;
    *command.mutable_worker() = record;
    propose(std::move(command), done,
            [this, report = *report, accepted](applied) -> forwarded_answer
            {
                parts_.note_report(report);
                return accepted;
            });
}

void fleet_service::remove(const forwarded_call&, const std::string& id,
                           const answer_handler& done)
{
    const auto known = state_.workers().find(id);
    if (known == state_.workers().end() || !known->second.draining())
    {
        // A worker reports that it drains before it leaves. This call may be
        // late, from an incarnation before the one that is known.
        done(plain(200));
        return;
    }
    fleet_command command;
    command.mutable_remove_worker()->set_id(id);
    command.mutable_remove_worker()->set_born_ms(known->second.born_ms());
    propose(std::move(command), done,
            [id](applied result)
            {
                log_event(
                    log_level::info, "worker_left",
                    {{"worker", id},
                     {"known", result == applied::changed ? "yes" : "no"}});
                return plain(200);
            });
}

void fleet_service::put_document(const forwarded_call& call,
                                 const answer_handler& done)
{
    const auto document = protocol_.decode_document(call.body());
    if (!document.ok())
    {
        log_event(log_level::info, "document_refused",
                  {{"reason", std::string(document.status().message())}});
        done(plain(400, protocol_.encode_error(
                            std::string(document.status().message()))));
        return;
    }
    fleet_command command;
    command.mutable_put_document()->set_version(document->version);
    command.mutable_put_document()->set_text(call.body());
    propose(std::move(command), done,
            [this, version = document->version](applied result)
            {
                log_event(
                    log_level::info, "document_put",
                    {{"version", absl::StrCat(version)},
                     {"held", absl::StrCat(state_.document().version())},
                     {"outcome", result == applied::changed     ? "in_force"
                                 : result == applied::unchanged ? "held"
                                                                : "conflict"}});
                return result == applied::refused
                           ? plain(409, protocol_.encode_error(
                                            "this version has other content"))
                           : plain(200);
            });
}

void fleet_service::start_wave(const forwarded_call& call,
                               const answer_handler& done)
{
    auto wave = protocol_.decode_wave(call.body());
    if (!wave.ok())
    {
        done(plain(
            400, protocol_.encode_error(std::string(wave.status().message()))));
        return;
    }
    fleet_command command;
    wave->set_due_ms(wave->due_ms() + parts_.wall_ms());
    *command.mutable_wave() = *wave;
    propose(std::move(command), done,
            [](applied)
            {
                return plain(200);
            });
}

void fleet_service::wave_state(const std::string& id,
                               const answer_handler& done)
{
    parts_.read(
        [this, id, done](bool confirmed)
        {
            std::uint64_t number = 0;
            if (!confirmed || !absl::SimpleAtoi(id, &number))
            {
                forwarded_answer answer = plain(400);
                answer.set_not_leader(!confirmed);
                done(answer);
                return;
            }
            const auto found = state_.waves().find(number);
            done(found == state_.waves().end()
                     ? plain(404)
                     : plain(200, protocol_.encode_wave_state(
                                      found->second.complete())));
        });
}

} // namespace limpetstack::fleet

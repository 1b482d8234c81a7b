// Implements the part of `fleet_service` that handles calls of workers and
// operators.
#include "coordination/fleet/fleet_answers.hpp"
#include "coordination/fleet/fleet_service.hpp"
#include "coordination/fleet/worker_room.hpp"
#include "state/worker_cost.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

bool equal_records(const worker_record& current, const worker_record& reported)
{
    return current.SerializeAsString() == reported.SerializeAsString();
}

} // namespace

void fleet_service::handle_control(const forwarded_call& call,
                                   const answer_handler& done)
{
    const auto target = protocol_.decode_target(call.method(), call.target());
    switch (target.kind)
    {
    case control_request::report_worker:
        report_worker(call, target.id, done);
        break;
    case control_request::remove_worker:
        remove_worker(call, target.id, done);
        break;
    case control_request::put_document:
        put_document(call, done);
        break;
    case control_request::get_document:
        dependencies_.read(
            [this, done](bool confirmed)
            {
                if (!confirmed)
                {
                    done(not_leader_answer());
                    return;
                }
                done(state_.document().version() == 0
                         ? retry_later_answer()
                         : json_answer(200, state_.document().text()));
            });
        break;
    case control_request::start_evacuation:
        set_evacuated(target.id, true, done);
        break;
    case control_request::end_evacuation:
        set_evacuated(target.id, false, done);
        break;
    case control_request::invalid:
        log_event(log_level::info, "control_call_refused",
                  {{"method", call.method()}, {"target", call.target()}});
        done(json_answer(
            400, protocol_.encode_error("the path names nothing that can "
                                        "exist")));
        break;
    case control_request::maintain_machines:
        log_event(log_level::warning, "maintenance_refused",
                  {{"target", call.target()}});
        done(json_answer(
            501, protocol_.encode_error("maintenance is not supported")));
        break;
    case control_request::unknown:
        done(json_answer(404));
        break;
    }
}

void fleet_service::report_worker(const forwarded_call& call,
                                  const std::string& id,
                                  const answer_handler& done)
{
    const auto report = protocol_.decode_report(id, call.body());
    if (!report.ok())
    {
        log_event(log_level::warning, "report_refused",
                  {{"worker", id},
                   {"reason", std::string(report.status().message())}});
        done(json_answer(400, protocol_.encode_error(
                                  std::string(report.status().message()))));
        return;
    }
    auto accepted = json_answer(
        200, protocol_.encode_report_answer(dependencies_.report_address));
    const auto current = state_.workers().find(id);
    auto record = report->worker;
    if (state_.is_gone({id, record.born_ms()}))
    {
        log_event(log_level::info, "report_obsolete",
                  {{"worker", id},
                   {"born_ms", absl::StrCat(record.born_ms())},
                   {"sequence", absl::StrCat(report->sequence)}});
        done(accepted);
        return;
    }
    if (current != state_.workers().end())
    {
        if (record.born_ms() < current->second.born_ms())
        {
            // Reports of an earlier incarnation are obsolete; they are answered
            // and otherwise ignored.
            done(accepted);
            return;
        }
        if (record.born_ms() == current->second.born_ms())
        {
            // A draining worker never becomes ready again in the same
            // incarnation, but a delayed report may still say that it is.
            record.set_draining(record.draining() ||
                                current->second.draining());
            if (equal_records(current->second, record))
            {
                dependencies_.record_report(*report);
                done(accepted);
                return;
            }
        }
    }
    const auto cost = worker_cost(record);
    const auto known = current == state_.workers().end()
                           ? std::size_t{0}
                           : worker_cost(current->second);
    const worker_room room{dependencies_.worker_room_limit(),
                           state_.workers_cost() + proposed_workers_cost_,
                           known};
    if (!has_room(room, cost))
    {
        log_worker_refusal(record, cost);
        done(retry_later_answer());
        return;
    }
    log_event(log_level::info, "worker_reported",
              {{"worker", id},
               {"born_ms", absl::StrCat(record.born_ms())},
               {"address", record.address()},
               {"state", record.draining() ? "draining" : "ready"},
               {"sequence", absl::StrCat(report->sequence)}});
    fleet_command command;
    *command.mutable_worker() = record;
    proposed_workers_cost_ += cost;
    propose(
        std::move(command),
        [this, cost, done](const forwarded_answer& answer)
        {
            proposed_workers_cost_ -= cost;
            done(answer);
        },
        [this, report = *report, accepted](apply_result) -> forwarded_answer
        {
            dependencies_.record_report(report);
            return accepted;
        });
}

void fleet_service::log_worker_refusal(const worker_record& worker,
                                       std::size_t cost)
{
    ++workers_without_room_;
    const auto now = dependencies_.wall_ms();
    if (std::abs(now - worker_refusal_logged_ms_) <
        refusal_log_interval.count())
    {
        return;
    }
    worker_refusal_logged_ms_ = now;
    log_event(log_level::warning, "worker_room_exhausted",
              {{"worker", worker.id()},
               {"address", worker.address()},
               {"cost_bytes", absl::StrCat(cost)},
               {"kept_bytes", absl::StrCat(state_.workers_cost())},
               {"limit_bytes", absl::StrCat(dependencies_.worker_room_limit())},
               {"refused", absl::StrCat(workers_without_room_)}});
}

void fleet_service::remove_worker(const forwarded_call&, const std::string& id,
                                  const answer_handler& done)
{
    const auto current = state_.workers().find(id);
    if (current == state_.workers().end() || !current->second.draining())
    {
        // A worker reports that it is draining before it leaves, so the call
        // does not concern the current incarnation: it may be a delayed call of
        // an earlier one.
        done(json_answer(200));
        return;
    }
    const worker_incarnation worker{id, current->second.born_ms()};
    dependencies_.begin_departure(worker,
                                  [this, worker, done](bool leading)
                                  {
                                      if (leading)
                                      {
                                          propose_removal(worker, done);
                                      }
                                      else
                                      {
                                          done(not_leader_answer());
                                      }
                                  });
}

void fleet_service::propose_removal(const worker_incarnation& worker,
                                    const answer_handler& done)
{
    fleet_command command;
    command.mutable_remove_worker()->set_id(worker.worker);
    command.mutable_remove_worker()->set_born_ms(worker.born_ms);
    command.mutable_remove_worker()->set_gone(true);
    propose(std::move(command), done,
            [id = worker.worker](apply_result result)
            {
                log_event(log_level::info, "worker_left",
                          {{"worker", id},
                           {"known",
                            result == apply_result::changed ? "yes" : "no"}});
                return json_answer(200);
            });
}

void fleet_service::set_evacuated(const std::string& data_centre, bool active,
                                  const answer_handler& done)
{
    if (!dependencies_.group_applies_evacuations())
    {
        log_event(log_level::warning, "evacuation_refused",
                  {{"data_centre", data_centre},
                   {"reason", "a host of the group has an earlier version"}});
        done(retry_later_answer());
        return;
    }
    fleet_command command;
    command.mutable_evacuation()->set_data_centre(data_centre);
    command.mutable_evacuation()->set_active(active);
    propose(std::move(command), done,
            [this, data_centre](apply_result result)
            {
                if (result != apply_result::refused)
                {
                    return json_answer(200);
                }
                log_event(log_level::warning, "evacuation_refused",
                          {{"data_centre", data_centre},
                           {"reason", "too many data centres are evacuated"}});
                return json_answer(409,
                                   protocol_.encode_error(
                                       "too many data centres are evacuated"));
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
        done(json_answer(400, protocol_.encode_error(
                                  std::string(document.status().message()))));
        return;
    }
    fleet_command command;
    command.mutable_put_document()->set_version(document->version);
    command.mutable_put_document()->set_text(call.body());
    propose(std::move(command), done,
            [this, version = document->version](apply_result result)
            {
                log_event(log_level::info, "document_put",
                          {{"version", absl::StrCat(version)},
                           {"held", absl::StrCat(state_.document().version())},
                           {"outcome",
                            result == apply_result::changed     ? "in_force"
                            : result == apply_result::unchanged ? "held"
                                                                : "conflict"}});
                return result == apply_result::refused
                           ? json_answer(409,
                                         protocol_.encode_error(
                                             "this version has other content"))
                           : json_answer(200);
            });
}

} // namespace limpetstack::fleet

// Calls of workers and operators.
#include "coordination/fleet/fleet_answers.hpp"
#include "coordination/fleet/fleet_service.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <utility>

namespace limpetstack::fleet
{
namespace
{

bool same_report(const worker_record& known, const worker_record& reported)
{
    return known.SerializeAsString() == reported.SerializeAsString();
}

} // namespace

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
                    done(not_leader());
                    return;
                }
                done(state_.document().version() == 0
                         ? unavailable()
                         : plain_answer(200, state_.document().text()));
            });
        break;
    case control_request::maintain_machines:
        log_event(log_level::warning, "maintenance_refused",
                  {{"target", call.target()}});
        done(plain_answer(
            501, protocol_.encode_error("maintenance is not supported")));
        break;
    case control_request::unknown:
        done(plain_answer(404));
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
        done(plain_answer(400, protocol_.encode_error(
                                   std::string(report.status().message()))));
        return;
    }
    auto accepted = plain_answer(
        200, protocol_.encode_report_answer(parts_.report_address));
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
            [this, report = *report, accepted](apply_result) -> forwarded_answer
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
        done(plain_answer(200));
        return;
    }
    fleet_command command;
    command.mutable_remove_worker()->set_id(id);
    command.mutable_remove_worker()->set_born_ms(known->second.born_ms());
    propose(std::move(command), done,
            [id](apply_result result)
            {
                log_event(log_level::info, "worker_left",
                          {{"worker", id},
                           {"known",
                            result == apply_result::changed ? "yes" : "no"}});
                return plain_answer(200);
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
        done(plain_answer(400, protocol_.encode_error(
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
                           ? plain_answer(409,
                                          protocol_.encode_error(
                                              "this version has other content"))
                           : plain_answer(200);
            });
}

} // namespace limpetstack::fleet

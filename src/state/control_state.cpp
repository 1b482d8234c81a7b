#include "state/control_state.hpp"
#include "base/hash.hpp"
#include "base/log.hpp"
#include "base/name_rule.hpp"
#include "state/document_changes.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>
#include <mutex>
#include <utility>

namespace limpetstack
{
namespace
{

wire::command_outcome refusal(wire::command_code code, std::uint64_t version,
                              std::string message)
{
    wire::command_outcome outcome;
    outcome.set_code(code);
    outcome.set_version(version);
    outcome.set_message(std::move(message));
    return outcome;
}

wire::command_outcome acceptance(std::uint64_t version)
{
    return refusal(wire::command_accepted, version, "");
}

std::string owner_text(const wire::owner_record& record)
{
    return absl::StrCat("epoch ", record.epoch(), ", incarnation ",
                        record.incarnation(), ", owner ", record.owner(),
                        record.copy().empty() ? ", no copy" : ", copy ",
                        record.copy());
}

wire::audit_record audit_entry(const wire::control_command& command,
                               const wire::command_outcome& outcome)
{
    wire::audit_record record;
    record.set_time_ms(command.time_ms());
    record.set_operator_name(command.operator_name());
    record.set_host(command.host());
    record.set_request_id(command.request_id());
    record.set_version(outcome.version());
    record.set_code(outcome.code());
    record.set_message(outcome.message());
    if (command.has_document())
    {
        record.set_action("apply_document sha256:" +
                          sha256_hex(command.document().document()));
        record.set_base_version(command.document().base_version());
    }
    else if (command.has_owner())
    {
        record.set_action(absl::StrCat("set_owner ",
                                       command.owner().data_centre(), " (",
                                       owner_text(command.owner()), ")"));
    }
    else if (command.has_evacuation())
    {
        const auto& change = command.evacuation();
        // A name that was refused may have any length.
        record.set_action(absl::StrCat(
            change.active() ? "start_evacuation " : "end_evacuation ",
            is_name(change.data_centre()) ? change.data_centre()
                                          : "(invalid name)"));
        if (outcome.unchanged())
        {
            record.set_message("unchanged");
        }
    }
    else
    {
        record.set_action("unsupported command");
    }
    return record;
}

} // namespace

control_state::control_state()
    : document_(std::make_shared<std::string>())
{
    // Version 0: no document, so every account counts as added after it.
    wire::past_version first;
    first.mutable_summary();
    past_.push_back(first);
}

wire::command_outcome control_state::apply(std::uint64_t index,
                                           const wire::control_command& command)
{
    const std::unique_lock lock(mutex_);
    applied_ = index;
    const auto known = outcomes_.find(command.request_id());
    if (known != outcomes_.end())
    {
        return known->second;
    }
    wire::command_outcome outcome;
    if (command.has_document())
    {
        outcome = apply_document(command);
    }
    else if (command.has_owner())
    {
        outcome = apply_owner(command.owner());
    }
    else if (command.has_evacuation())
    {
        outcome = evacuations_.apply(index, command);
        outcome.set_version(version_);
    }
    else
    {
        outcome = refusal(wire::command_invalid, version_,
                          "the command is not supported by this release");
    }
    audit_.append(audit_entry(command, outcome));
    remember(command.request_id(), outcome);
    return outcome;
}

wire::command_outcome
control_state::apply_document(const wire::control_command& command)
{
    const auto& change = command.document();
    if (change.base_version() != version_)
    {
        return conflict(change.base_version());
    }
    // An empty text stands for "not newer" in a config_response.
    if (change.document().empty())
    {
        return refusal(wire::command_invalid, version_,
                       "the document is empty");
    }
    ++version_;
    document_ = std::make_shared<const std::string>(change.document());
    last_operator_ = command.operator_name();
    wire::past_version current;
    current.set_version(version_);
    if (change.has_summary())
    {
        *current.mutable_summary() = change.summary();
    }
    past_.push_back(std::move(current));
    if (past_.size() > max_past_versions)
    {
        past_.pop_front();
    }
    return acceptance(version_);
}

wire::command_outcome control_state::conflict(std::uint64_t base_version) const
{
    const auto base = std::find_if(past_.begin(), past_.end(),
                                   [&](const wire::past_version& past)
                                   {
                                       return past.version() == base_version;
                                   });
    std::string message = version_ == 0
                              ? std::string("there is no document yet")
                              : absl::StrCat("version ", version_, " by ",
                                             last_operator_, " is current");
    if (base_version > version_)
    {
        absl::StrAppend(&message, "; version ", base_version,
                        " does not exist");
    }
    else if (base != past_.end() && base->has_summary() &&
             past_.back().has_summary())
    {
        absl::StrAppend(
            &message, "; since version ", base_version, ": ",
            describe_changes(base->summary(), past_.back().summary()));
    }
    else
    {
        absl::StrAppend(&message, "; what changed since version ", base_version,
                        " is no longer known");
    }
    absl::StrAppend(&message, "; repeat the change on version ", version_);
    auto outcome = refusal(wire::command_conflict, version_, message);
    outcome.set_winner(last_operator_);
    return outcome;
}

wire::command_outcome
control_state::apply_owner(const wire::owner_record& record)
{
    const auto found = owners_.find(record.data_centre());
    const auto epoch = found == owners_.end() ? 0 : found->second.epoch();
    const auto incarnation =
        found == owners_.end() ? 0 : found->second.incarnation();
    if (record.data_centre().empty() || record.owner().empty() ||
        record.owner() == record.copy())
    {
        return refusal(wire::command_invalid, version_,
                       "an owner record needs a data centre, an owner and a "
                       "copy on another host or none");
    }
    if (record.epoch() != epoch + 1)
    {
        auto outcome = refusal(
            wire::command_conflict, version_,
            epoch == 0
                ? absl::StrCat(record.data_centre(),
                               " has no owner record; the first has epoch 1")
                : absl::StrCat(record.data_centre(), " has ",
                               owner_text(found->second),
                               "; the next record has epoch ", epoch + 1));
        outcome.set_winner(epoch == 0 ? "" : found->second.owner());
        return outcome;
    }
    if (record.incarnation() < incarnation)
    {
        return refusal(wire::command_invalid, version_,
                       absl::StrCat("the incarnation of ", record.data_centre(),
                                    " is ", incarnation,
                                    " and can not go down to ",
                                    record.incarnation()));
    }
    owners_[record.data_centre()] = record;
    return acceptance(version_);
}

void control_state::remember(const std::string& request_id,
                             const wire::command_outcome& outcome)
{
    // Without an id a resend can not be recognized.
    if (request_id.empty())
    {
        return;
    }
    outcomes_.emplace(request_id, outcome);
    remembered_ids_.push_back(request_id);
    if (remembered_ids_.size() > max_remembered_outcomes)
    {
        outcomes_.erase(remembered_ids_.front());
        remembered_ids_.pop_front();
    }
}

std::string control_state::snapshot() const
{
    const std::shared_lock lock(mutex_);
    wire::control_snapshot state;
    state.set_version(version_);
    state.set_document(*document_);
    state.set_last_operator(last_operator_);
    for (const auto& [data_centre, record] : owners_)
    {
        *state.add_owners() = record;
    }
    for (const auto& record : audit_.records())
    {
        *state.add_audit() = record;
    }
    for (const auto& id : remembered_ids_)
    {
        auto& entry = *state.add_outcomes();
        entry.set_request_id(id);
        *entry.mutable_outcome() = outcomes_.at(id);
    }
    for (const auto& past : past_)
    {
        *state.add_past() = past;
    }
    *state.mutable_evacuations() = evacuations_.set();
    return state.SerializeAsString();
}

void control_state::restore(std::uint64_t index, const std::string& state)
{
    wire::control_snapshot source;
    if (!source.ParseFromString(state))
    {
        log_event(log_level::error, "control_snapshot_unreadable",
                  {{"index", std::to_string(index)},
                   {"bytes", std::to_string(state.size())}});
        std::abort();
    }
    const std::unique_lock lock(mutex_);
    applied_ = index;
    version_ = source.version();
    document_ = std::make_shared<const std::string>(source.document());
    last_operator_ = source.last_operator();
    owners_.clear();
    for (const auto& record : source.owners())
    {
        owners_[record.data_centre()] = record;
    }
    evacuations_.restore(source.evacuations());
    audit_.restore({source.audit().begin(), source.audit().end()});
    remembered_ids_.clear();
    outcomes_.clear();
    for (const auto& entry : source.outcomes())
    {
        remember(entry.request_id(), entry.outcome());
    }
    past_.assign(source.past().begin(), source.past().end());
    if (past_.empty())
    {
        wire::past_version current;
        current.set_version(version_);
        past_.push_back(std::move(current));
    }
}

std::uint64_t control_state::version() const
{
    const std::shared_lock lock(mutex_);
    return version_;
}

std::uint64_t control_state::applied_index() const
{
    const std::shared_lock lock(mutex_);
    return applied_;
}

std::shared_ptr<const std::string> control_state::document_text() const
{
    const std::shared_lock lock(mutex_);
    return document_;
}

std::string control_state::last_operator() const
{
    const std::shared_lock lock(mutex_);
    return last_operator_;
}

std::vector<wire::owner_record> control_state::owners() const
{
    const std::shared_lock lock(mutex_);
    return sorted_owners();
}

wire::evacuation_set control_state::evacuations() const
{
    const std::shared_lock lock(mutex_);
    return evacuations_.set();
}

std::vector<wire::audit_record> control_state::audit(std::uint64_t after,
                                                     std::size_t limit) const
{
    const std::shared_lock lock(mutex_);
    return audit_.read(after, limit);
}

config_view control_state::view() const
{
    const std::shared_lock lock(mutex_);
    return {version_,        document_,          last_operator_,
            sorted_owners(), evacuations_.set(), applied_};
}

std::vector<wire::owner_record> control_state::sorted_owners() const
{
    std::vector<wire::owner_record> result;
    for (const auto& [data_centre, record] : owners_)
    {
        result.push_back(record);
    }
    return result;
}

} // namespace limpetstack

#include "coordination/journal_copy.hpp"

#include "peer.pb.h"
#include "state/journal.hpp"

#include <algorithm>

namespace limpetstack
{

journal_copy::journal_copy(journal& target, std::string data_centre)
    : journal_(target)
    , data_centre_(std::move(data_centre))
{
}

journal_copy::~journal_copy() = default;

wire::journal_append_response
journal_copy::receive(const wire::journal_append& message,
                      std::uint64_t known_epoch, const std::string& known_owner)
{
    auto reason = refusal(message, known_epoch, known_owner);
    if (reason.empty())
    {
        reason =
            message.full_copy() ? take_part(message) : take_records(message);
    }
    const auto position = journal_.position();
    wire::journal_append_response response;
    response.set_accepted(reason.empty());
    response.set_reason(reason);
    response.set_epoch(reason.empty()
                           ? message.epoch()
                           : std::max(known_epoch, position.promised_epoch));
    response.set_last_sequence(position.last_sequence);
    response.set_last_epoch(position.last_epoch);
    response.set_store(position.store);
    response.set_incarnation(position.incarnation);
    response.set_complete_epoch(position.complete_epoch);
    return response;
}

std::string journal_copy::refusal(const wire::journal_append& message,
                                  std::uint64_t known_epoch,
                                  const std::string& known_owner) const
{
    const auto position = journal_.position();
    if (message.data_centre() != data_centre_)
    {
        return "journal of another data centre";
    }
    if (message.epoch() < std::max(known_epoch, position.promised_epoch))
    {
        return "lower epoch";
    }
    if (message.epoch() == known_epoch && message.owner() != known_owner)
    {
        return "not the owner of this epoch";
    }
    if (message.copy_store() != position.store)
    {
        return "message is for another store";
    }
    if (message.incarnation() < position.incarnation)
    {
        return "lower incarnation";
    }
    if (message.candidate() && position.complete_epoch == message.epoch())
    {
        return "already the copy of this epoch";
    }
    return journal_.writable() ? "" : "journal not writable";
}

std::string journal_copy::take_records(const wire::journal_append& message)
{
    const auto position = journal_.position();
    if (message.incarnation() != position.incarnation)
    {
        return "other incarnation";
    }
    const bool complete = position.complete_epoch == message.epoch();
    const bool continues =
        message.previous_sequence() == position.last_sequence &&
        message.previous_epoch() == position.last_epoch;
    // Within one epoch a resend may repeat records that are already here.
    const bool repeats =
        complete && message.previous_sequence() < position.last_sequence;
    if (!continues && !repeats)
    {
        return "records missing";
    }
    std::vector<wire::journal_record> fresh;
    for (const auto& record : message.records())
    {
        if (record.sequence() > position.last_sequence)
        {
            fresh.push_back(record);
        }
    }
    const auto last =
        fresh.empty() ? position.last_sequence : fresh.back().sequence();
    // Records that the owner made durable alone, under the epoch before, may
    // still follow.
    const bool reached = complete || last >= message.owner_last();
    const auto status =
        journal_.append(fresh, message.epoch(),
                        !message.candidate() && reached ? message.epoch() : 0);
    if (!status.ok())
    {
        return std::string(status.message());
    }
    candidate_epoch_ = message.candidate() ? message.epoch() : 0;
    return "";
}

std::string journal_copy::take_part(const wire::journal_append& message)
{
    if (message.part() == 0)
    {
        copy_id_ = message.copy_id();
        next_part_ = 0;
        parts_.clear();
    }
    if (message.copy_id() != copy_id_ || message.part() != next_part_)
    {
        return "part of another full copy";
    }
    ++next_part_;
    parts_.insert(parts_.end(), message.records().begin(),
                  message.records().end());
    return message.last_part() ? install(message) : "";
}

std::string journal_copy::install(const wire::journal_append& message)
{
    const auto state = std::move(parts_);
    parts_.clear();
    copy_id_ = 0;
    auto position = journal_.position();
    if (position.complete_epoch == message.epoch() &&
        position.last_sequence >= message.previous_sequence())
    {
        // A late copy from before records that were acknowledged since.
        return "";
    }
    position.incarnation = message.incarnation();
    position.promised_epoch = message.epoch();
    position.complete_epoch = message.candidate() ? 0 : message.epoch();
    position.last_sequence = message.previous_sequence();
    position.last_epoch = message.previous_epoch();
    for (const auto& record : state)
    {
        if (record.has_retention())
        {
            position.requests_before_ms =
                record.retention().requests_before_ms();
            position.jobs_before_ms = record.retention().jobs_before_ms();
        }
    }
    if (const auto status = journal_.replace(position, state); !status.ok())
    {
        return std::string(status.message());
    }
    candidate_epoch_ = message.candidate() ? message.epoch() : 0;
    return "";
}

} // namespace limpetstack

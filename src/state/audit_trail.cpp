#include "state/audit_trail.hpp"
#include "base/hash.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpetstack
{
namespace
{

// A length before each field keeps two different records from having the same
// text. Protobuf does not promise equal bytes for equal messages.
void add_field(std::string& text, const std::string& value)
{
    absl::StrAppend(&text, value.size(), ":", value, ",");
}

absl::Status broken(const wire::audit_record& record, const char* what)
{
    return absl::DataLossError(
        absl::StrCat("audit record ", record.sequence(), " ", what));
}

} // namespace

std::string audit_hash(const wire::audit_record& record)
{
    std::string text;
    add_field(text, std::to_string(record.sequence()));
    add_field(text, std::to_string(record.time_ms()));
    add_field(text, record.operator_name());
    add_field(text, record.host());
    add_field(text, record.action());
    add_field(text, std::to_string(record.base_version()));
    add_field(text, std::to_string(record.version()));
    add_field(text, std::to_string(static_cast<int>(record.code())));
    add_field(text, record.message());
    add_field(text, record.request_id());
    add_field(text, record.previous_hash());
    return sha256_hex(text);
}

void audit_trail::append(wire::audit_record record)
{
    record.set_sequence(records_.empty() ? 1 : records_.back().sequence() + 1);
    record.set_previous_hash(records_.empty() ? "" : records_.back().hash());
    record.set_hash(audit_hash(record));
    records_.push_back(std::move(record));
    if (records_.size() > max_audit_records)
    {
        records_.pop_front();
    }
}

std::vector<wire::audit_record> audit_trail::read(std::uint64_t after,
                                                  std::size_t limit) const
{
    if (records_.empty())
    {
        return {};
    }
    const auto first = records_.front().sequence();
    const auto skipped = after < first ? 0 : after - first + 1;
    if (skipped >= records_.size())
    {
        return {};
    }
    const auto begin = records_.begin() + static_cast<std::ptrdiff_t>(skipped);
    const auto count = std::min(limit, records_.size() - skipped);
    return {begin, begin + static_cast<std::ptrdiff_t>(count)};
}

void audit_trail::restore(std::vector<wire::audit_record> records)
{
    records_.assign(std::make_move_iterator(records.begin()),
                    std::make_move_iterator(records.end()));
}

absl::Status verify_audit(const std::vector<wire::audit_record>& records)
{
    const wire::audit_record* previous = nullptr;
    for (const auto& record : records)
    {
        if (record.hash() != audit_hash(record))
        {
            return broken(record, "was changed: its hash does not match");
        }
        if (previous == nullptr)
        {
            if (record.sequence() == 1 && !record.previous_hash().empty())
            {
                return broken(record, "names a record before the first one");
            }
        }
        else if (record.sequence() != previous->sequence() + 1)
        {
            return broken(record, "does not follow the record before it");
        }
        else if (record.previous_hash() != previous->hash())
        {
            return broken(record, "does not carry the hash of the record "
                                  "before it");
        }
        previous = &record;
    }
    return absl::OkStatus();
}

} // namespace limpetstack

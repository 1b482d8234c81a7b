#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

namespace limpetstack::wire
{
class audit_record;
} // namespace limpetstack::wire

namespace limpetstack
{

/// Returns the record of an element of `records`, or `kInvalidArgument`. The
/// code may be a name or a number.
absl::StatusOr<wire::audit_record> audit_from_json(const nlohmann::json& value);

} // namespace limpetstack

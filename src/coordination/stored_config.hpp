#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace limpetstack::wire
{
class config_response;
} // namespace limpetstack::wire

namespace limpetstack
{

/// Returns the content of the configuration file: a line with the format and
/// a CRC-32C, then the serialized message.
std::string encode_stored_config(const wire::config_response& config);

/// Returns the message, or `kDataLoss` when the content is damaged.
absl::StatusOr<wire::config_response>
decode_stored_config(std::string_view content);

} // namespace limpetstack

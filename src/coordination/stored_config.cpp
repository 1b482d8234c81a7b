#include "coordination/stored_config.hpp"
#include "base/hash.hpp"

#include "peer.pb.h"

#include <absl/strings/str_cat.h>

namespace limpetstack
{
namespace
{

constexpr std::string_view format_prefix = "limpetstack-config 1 ";

std::string header(std::string_view payload)
{
    return absl::StrCat(std::string(format_prefix),
                        absl::Hex(crc32c(payload), absl::kZeroPad8), "\n");
}

} // namespace

std::string encode_stored_config(const wire::config_response& config)
{
    const auto payload = config.SerializeAsString();
    return header(payload) + payload;
}

absl::StatusOr<wire::config_response>
decode_stored_config(std::string_view content)
{
    const auto newline = content.find('\n');
    if (newline == std::string_view::npos ||
        content.substr(0, format_prefix.size()) != format_prefix)
    {
        return absl::DataLossError("the file has no valid first line");
    }
    const auto payload = content.substr(newline + 1);
    if (content.substr(0, newline + 1) != header(payload))
    {
        return absl::DataLossError("the checksum does not match the content");
    }
    wire::config_response config;
    if (!config.ParseFromArray(payload.data(),
                               static_cast<int>(payload.size())))
    {
        return absl::DataLossError("the content can not be decoded");
    }
    return config;
}

} // namespace limpetstack

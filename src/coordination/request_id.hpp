#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetstack
{

/// Id of a non-idempotent request, `<data_centre>-<incarnation>-<random>`. The
/// data centre's journal of that incarnation decides on the request.
struct request_id
{
    std::string data_centre;
    std::uint64_t incarnation = 0;
    std::string random; // Hexadecimal.
};

/// Returns nothing for text that is no such id.
std::optional<request_id> parse_request_id(std::string_view text);

/// Returns a new id for the journal of this incarnation.
std::string make_request_id(const std::string& data_centre,
                            std::uint64_t incarnation);

/// True for an id that a caller may give to an idempotent request: 1 to 128
/// printable characters without spaces.
bool usable_request_id(std::string_view text);

} // namespace limpetstack

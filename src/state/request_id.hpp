#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace limpetstack
{

/// The parts of an id `<data_centre>-<incarnation>-<issue time>-<random>`. The
/// incarnation is decimal, the issue time hexadecimal milliseconds since 1970.
/// The data centre's name may contain '-', the other parts may not.
struct request_id
{
    std::string data_centre; // Home data centre, which decides the request.
    std::uint64_t incarnation = 0;
    std::int64_t issued_ms = 0;
    std::string random;
};

inline bool operator==(const request_id& a, const request_id& b)
{
    return std::tie(a.data_centre, a.incarnation, a.issued_ms, a.random) ==
           std::tie(b.data_centre, b.incarnation, b.issued_ms, b.random);
}

/// Returns the id's text.
std::string to_string(const request_id& id);

/// Returns a new id. `random` is hexadecimal, for example from `random_hex`.
std::string make_request_id(std::string_view data_centre,
                            std::uint64_t incarnation, std::int64_t now_ms,
                            std::string_view random);

/// Parses an id. Returns `kInvalidArgument` when a part is missing, empty,
/// longer than a valid one or has other characters; only text that `to_string`
/// gives is accepted.
absl::StatusOr<request_id> parse_request_id(std::string_view text);

/// True for an id that a caller may give to an idempotent request: 1 to 128
/// printable characters without spaces.
bool usable_request_id(std::string_view text);

} // namespace limpetstack

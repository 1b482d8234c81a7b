#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace limpetstack
{

/// Returns the SHA-256 of `data` as 64 hexadecimal digits.
std::string sha256_hex(std::string_view data);

/// Returns the CRC-32C of `data`.
std::uint32_t crc32c(std::string_view data);

/// Returns the CRC-32C of the pieces, one behind the other.
std::uint32_t crc32c(std::initializer_list<std::string_view> pieces);

/// Returns a 64-bit hash that is the same on every host, for rendezvous
/// hashing.
std::uint64_t stable_hash(std::string_view data);

/// Returns `bytes` random bytes from the system's generator in hexadecimal.
std::string random_hex(int bytes);

} // namespace limpetstack

#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpetstack
{

/// The payloads of a record file and how much of the file they fill; bytes
/// after `valid_size` are a torn last record.
struct decoded_records
{
    std::vector<std::string> payloads;
    std::size_t valid_size = 0;
};

/// Returns a record: a header of 16 bytes (mark, size, CRC-32C of the payload,
/// CRC-32C of the header) and the payload.
std::string encode_record(std::string_view payload);

/// Reads the records of a file. A bad record that ends the file is torn; one
/// with a valid record behind it is `kDataLoss` with `path` and the offset.
absl::StatusOr<decoded_records> decode_records(std::string_view data,
                                               const std::string& path);

} // namespace limpetstack

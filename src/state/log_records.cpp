#include "state/log_records.hpp"

#include "base/hash.hpp"

#include <absl/strings/str_cat.h>

#include <optional>

namespace limpetstack
{
namespace
{

constexpr std::uint32_t record_mark = 0x4C504C31;
constexpr std::size_t word_size = 4;
constexpr std::size_t header_size = 4 * word_size;

void put_word(std::string& out, std::uint32_t value)
{
    for (std::size_t i = 0; i < word_size; ++i)
    {
        out += static_cast<char>((value >> (8 * i)) & 0xFFU);
    }
}

std::uint32_t word_at(std::string_view data, std::size_t position)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < word_size; ++i)
    {
        const auto byte = static_cast<unsigned char>(data[position + i]);
        value |= static_cast<std::uint32_t>(byte) << (8 * i);
    }
    return value;
}

bool header_at(std::string_view data, std::size_t position)
{
    return data.size() - position >= header_size &&
           word_at(data, position) == record_mark &&
           word_at(data, position + 3 * word_size) ==
               crc32c(data.substr(position, 3 * word_size));
}

// Returns the payload of a whole and undamaged record.
std::optional<std::string_view> record_at(std::string_view data,
                                          std::size_t position)
{
    if (!header_at(data, position))
    {
        return std::nullopt;
    }
    const auto size = word_at(data, position + word_size);
    const auto payload = data.substr(position + header_size, size);
    if (payload.size() != size ||
        crc32c(payload) != word_at(data, position + 2 * word_size))
    {
        return std::nullopt;
    }
    return payload;
}

// Returns true when a valid record starts anywhere after `position`. The next
// record's place is unknown when a header is damaged, so every offset is tried.
bool record_follows(std::string_view data, std::size_t position)
{
    for (auto next = position + 1; next + header_size <= data.size(); ++next)
    {
        if (record_at(data, next))
        {
            return true;
        }
    }
    return false;
}

} // namespace

std::string encode_record(std::string_view payload)
{
    std::string record;
    record.reserve(header_size + payload.size());
    put_word(record, record_mark);
    put_word(record, static_cast<std::uint32_t>(payload.size()));
    put_word(record, crc32c(payload));
    put_word(record, crc32c(record));
    record += payload;
    return record;
}

absl::StatusOr<decoded_records> decode_records(std::string_view data,
                                               const std::string& path)
{
    decoded_records result;
    auto& position = result.valid_size;
    while (position < data.size())
    {
        const auto payload = record_at(data, position);
        if (!payload)
        {
            if (record_follows(data, position))
            {
                return absl::DataLossError(absl::StrCat(
                    path, " has a bad record at offset ", position,
                    " before its end: restore the file, or erase the data "
                    "folder and restart the host as a new member"));
            }
            break;
        }
        result.payloads.emplace_back(*payload);
        position += header_size + payload->size();
    }
    return result;
}

} // namespace limpetstack

#include "state/journal_frame.hpp"

#include "base/hash.hpp"

#include <absl/strings/str_cat.h>

#include <optional>

namespace limpetstack
{
namespace
{

constexpr std::size_t word = 4;
constexpr std::size_t prefix = 3 * word;

void put_word(std::string& out, std::uint32_t value)
{
    for (std::size_t i = 0; i < word; ++i)
    {
        out += static_cast<char>((value >> (8 * i)) & 0xFFU);
    }
}

std::uint32_t word_at(std::string_view bytes, std::size_t offset)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < word; ++i)
    {
        value |= std::uint32_t{static_cast<unsigned char>(bytes[offset + i])}
                 << (8 * i);
    }
    return value;
}

// Returns the message of the frame at the offset, or nothing when the frame is
// not whole.
std::optional<std::string_view> message_at(std::string_view bytes,
                                           std::size_t offset)
{
    if (bytes.size() - offset < prefix)
    {
        return std::nullopt;
    }
    const std::size_t length = word_at(bytes, offset);
    if (word_at(bytes, offset + word) != crc32c(bytes.substr(offset, word)) ||
        length > bytes.size() - offset - prefix)
    {
        return std::nullopt;
    }
    const auto message = bytes.substr(offset + prefix, length);
    if (word_at(bytes, offset + 2 * word) != crc32c(message))
    {
        return std::nullopt;
    }
    return message;
}

} // namespace

std::string encode_frame(const wire::journal_frame& frame)
{
    const std::string message = frame.SerializeAsString();
    std::string out;
    out.reserve(prefix + message.size());
    put_word(out, static_cast<std::uint32_t>(message.size()));
    put_word(out, crc32c(out));
    put_word(out, crc32c(message));
    return out + message;
}

absl::StatusOr<std::uint64_t>
read_frames(const std::string& name, std::string_view bytes,
            const std::function<void(const wire::journal_frame&)>& apply)
{
    std::size_t offset = 0;
    wire::journal_frame frame;
    while (offset < bytes.size())
    {
        const auto message = message_at(bytes, offset);
        if (!message || !frame.ParseFromArray(
                            message->data(), static_cast<int>(message->size())))
        {
            break;
        }
        apply(frame);
        offset += prefix + message->size();
    }
    // One write adds one frame and the next write follows its sync, so only
    // the last frame can be torn.
    for (std::size_t later = offset + 1; later < bytes.size(); ++later)
    {
        if (message_at(bytes, later))
        {
            return absl::DataLossError(absl::StrCat(
                name, ": bad record at byte ", offset, " before good ones"));
        }
    }
    return offset;
}

} // namespace limpetstack

#include "state/log_records.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against payloads that come back changed, and against a damaged byte
// that goes unnoticed anywhere in the file.
RC_GTEST_PROP(log_records, every_damaged_byte_is_found,
              (const std::vector<std::string>& payloads))
{
    std::string data;
    for (const auto& payload : payloads)
    {
        data += encode_record(payload);
    }
    const auto decoded = decode_records(data, "file");
    RC_ASSERT(decoded.ok());
    RC_ASSERT(decoded->payloads == payloads);
    RC_ASSERT(decoded->valid_size == data.size());
    RC_PRE(!data.empty());

    const auto place = *rc::gen::inRange<std::size_t>(0, data.size());
    const auto last = data.size() - encode_record(payloads.back()).size();
    data[place] = static_cast<char>(data[place] ^ 0x10);
    const auto damaged = decode_records(data, "file");
    if (place < last)
    {
        RC_ASSERT(absl::IsDataLoss(damaged.status()));
    }
    else
    {
        RC_ASSERT(damaged.ok());
        RC_ASSERT(damaged->valid_size == last);
    }
}

// Guards against a tail of zeros, as some file systems leave after a crash,
// that stops the start.
TEST(log_records, tail_of_zeros_is_torn)
{
    const auto record = encode_record("payload");
    const auto decoded =
        decode_records(record + std::string(500, '\0'), "file");
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(decoded->valid_size, record.size());
}

} // namespace
} // namespace limpetstack

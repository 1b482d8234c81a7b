#include "base/log_sink.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

#include <array>
#include <string>

namespace limpetstack
{
namespace
{

std::string read_available(int descriptor)
{
    std::array<char, 65536> chunk{};
    const auto size = read(descriptor, chunk.data(), chunk.size());
    return size > 0 ? std::string(chunk.data(), static_cast<std::size_t>(size))
                    : std::string();
}

class log_sink_test : public ::testing::Test
{
protected:
    log_sink_test() { EXPECT_EQ(pipe(ends.data()), 0); }
    ~log_sink_test() override
    {
        close(ends[0]);
        close(ends[1]);
    }
    log_sink_test(const log_sink_test&) = delete;
    log_sink_test& operator=(const log_sink_test&) = delete;

    std::array<int, 2> ends{};
};

TEST_F(log_sink_test, lines_arrive_in_order_after_a_flush)
{
    log_sink sink(ends[1], 1000, 500);
    sink.add("one\n");
    sink.add("two\n");
    EXPECT_GT(sink.buffered(), 0U);
    sink.flush();
    EXPECT_EQ(read_available(ends[0]), "one\ntwo\n");
}

// Guards against a reader that stops and holds up the daemon, or lets its
// memory grow; the lines that were lost are counted in a line of their own.
TEST_F(log_sink_test, a_reader_that_stops_costs_lines_only)
{
    constexpr std::size_t max_bytes = 4096;
    log_sink sink(ends[1], max_bytes, 512);
    const std::string line(99, 'x');
    for (int i = 0; i < 5000; ++i)
    {
        sink.add(line + "\n");
    }
    EXPECT_GT(sink.dropped(), 0U);
    EXPECT_LE(sink.buffered(), max_bytes);
    std::string all;
    for (int i = 0; i < 5; ++i)
    {
        all += read_available(ends[0]);
        sink.add("after\n");
        sink.flush();
    }
    // Every line is whole.
    std::size_t begin = 0;
    for (auto end = all.find('\n'); end != std::string::npos;
         begin = end + 1, end = all.find('\n', begin))
    {
        const auto one = all.substr(begin, end - begin);
        EXPECT_TRUE(one == line || one == "after" ||
                    one.rfind("event=log_lines_dropped count=", 0) == 0)
            << one;
    }
    EXPECT_NE(all.find("event=log_lines_dropped count="), std::string::npos);
    EXPECT_NE(all.find("after\n"), std::string::npos);
}

} // namespace
} // namespace limpetstack

#include "transport/connection_budget.hpp"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

namespace limpetstack
{
namespace
{

// A connection of the budget, with a socket that the budget can shut down.
class member
{
public:
    explicit member(connection_budget& budget)
        : budget_(budget)
    {
        ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets_.data());
        item.socket = sockets_[0];
        budget_.add(item);
        budget_.set_reading(item, true);
    }
    ~member()
    {
        budget_.remove(item);
        ::close(sockets_[0]);
        ::close(sockets_[1]);
    }
    member(const member&) = delete;
    member& operator=(const member&) = delete;

    // Returns true when a thread that reads from the socket is woken.
    bool is_woken() const
    {
        char byte = 0;
        return ::recv(sockets_[0], &byte, 1, MSG_DONTWAIT) == 0;
    }

    connection_budget::connection item;

private:
    connection_budget& budget_;
    std::array<int, 2> sockets_{};
};

// Guards against large incomplete requests that keep small ones out.
TEST(connection_budget, the_largest_incomplete_request_is_refused)
{
    connection_budget budget(100);
    member large(budget);
    member middle(budget);
    member small(budget);
    ASSERT_TRUE(budget.reserve(large.item, 60));
    ASSERT_TRUE(budget.reserve(middle.item, 40));
    std::thread reader(
        [&]
        {
            while (!budget.is_refused(large.item))
            {
                std::this_thread::yield();
            }
            budget.release(large.item);
        });
    EXPECT_TRUE(budget.reserve(small.item, 10));
    reader.join();
    EXPECT_TRUE(large.is_woken());
    EXPECT_FALSE(budget.is_refused(middle.item));
    EXPECT_EQ(budget.used_bytes(), 50U);
}

// Guards against a request that displaces others when it is the largest itself.
TEST(connection_budget, a_request_that_would_keep_the_most_is_refused_itself)
{
    connection_budget budget(100);
    member first(budget);
    member second(budget);
    ASSERT_TRUE(budget.reserve(first.item, 60));
    EXPECT_FALSE(budget.reserve(second.item, 70));
    EXPECT_TRUE(budget.is_refused(second.item));
    EXPECT_FALSE(budget.is_refused(first.item));
    EXPECT_EQ(budget.used_bytes(), 60U);
}

// Guards against refusing requests in progress, which may have had an effect,
// and against exceeding the limit while they keep their bytes.
TEST(connection_budget, requests_in_progress_are_not_refused)
{
    connection_budget budget(100);
    member progressing(budget);
    member other(budget);
    ASSERT_TRUE(budget.reserve(progressing.item, 90));
    budget.set_reading(progressing.item, false);
    EXPECT_FALSE(budget.reserve(other.item, 20));
    EXPECT_FALSE(budget.is_refused(progressing.item));
    EXPECT_EQ(budget.used_bytes(), 90U);
}

// Guards against bytes that stay counted after their connection is gone.
TEST(connection_budget, closed_connections_keep_nothing)
{
    connection_budget budget(100);
    {
        member closed(budget);
        ASSERT_TRUE(budget.reserve(closed.item, 100));
    }
    EXPECT_EQ(budget.used_bytes(), 0U);
    member next(budget);
    EXPECT_TRUE(budget.reserve(next.item, 100));
}

// Guards against closing a connection that has just sent its request while
// others have been silent for longer.
TEST(connection_budget, the_connection_that_waited_longest_makes_room)
{
    connection_budget budget(100);
    EXPECT_FALSE(budget.refuse_oldest());
    member oldest(budget);
    std::this_thread::sleep_for(milliseconds(5));
    member newest(budget);
    ASSERT_TRUE(budget.refuse_oldest());
    EXPECT_TRUE(budget.is_refused(oldest.item));
    EXPECT_FALSE(budget.is_refused(newest.item));
    ASSERT_TRUE(budget.refuse_oldest());
    EXPECT_FALSE(budget.refuse_oldest());
}

} // namespace
} // namespace limpetstack

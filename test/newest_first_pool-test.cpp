#include "transport/newest_first_pool.hpp"

#include <gtest/gtest.h>

#include <future>
#include <vector>

namespace limpetstack
{
namespace
{

// Guards against an ordinary client that waits behind a crowd of connections
// that came before it.
TEST(newest_first_pool, newest_task_runs_first)
{
    newest_first_pool pool(1);
    std::promise<void> begun;
    std::promise<void> release;
    std::vector<int> order;
    pool.enqueue(
        [&]
        {
            begun.set_value();
            release.get_future().wait();
        });
    begun.get_future().wait();
    for (int i = 0; i < 4; ++i)
    {
        pool.enqueue(
            [&order, i]
            {
                order.push_back(i);
            });
    }
    release.set_value();
    pool.shutdown();
    EXPECT_EQ(order, (std::vector<int>{3, 2, 1, 0}));
}

// Guards against connections that are dropped without being closed when the
// listener stops.
TEST(newest_first_pool, shutdown_runs_what_waits)
{
    int done = 0;
    {
        newest_first_pool pool(1);
        for (int i = 0; i < 100; ++i)
        {
            pool.enqueue(
                [&done]
                {
                    ++done;
                });
        }
    }
    EXPECT_EQ(done, 100);
}

} // namespace
} // namespace limpetstack

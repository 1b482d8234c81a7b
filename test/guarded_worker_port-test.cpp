// Checks what a leader that was suspended sends before it finds out that its
// leadership has ended.
#include "coordination/fleet/guarded_worker_port.hpp"

#include "support/fake_worker_port.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace limpetstack::fleet
{
namespace
{

class guarded_worker_port_test : public ::testing::Test
{
protected:
    void run_deferred()
    {
        for (const auto& callback : std::exchange(deferred, {}))
        {
            callback();
        }
    }

    bool may_act = true;
    std::vector<std::function<void()>> deferred;
    fake_worker_port inner;
    metrics counters;
    guarded_worker_port port{inner,
                             [this]
                             {
                                 return may_act;
                             },
                             [this](std::function<void()> callback)
                             {
                                 deferred.push_back(std::move(callback));
                             },
                             counters};
};

// Guards against orders that a leader sends after a suspension, when another
// host may lead already: a start or a lease that it grants would outlast what
// the new leader expects.
TEST_F(guarded_worker_port_test, sends_nothing_without_permission)
{
    may_act = false;
    int unknown = 0;
    const auto order_done = [&unknown](const order_answer& answer)
    {
        unknown += answer.result == order_result::unknown ? 1 : 0;
    };
    const auto lists_done = [&unknown](const hold_answer& answer)
    {
        unknown += answer.result == order_result::unknown ? 1 : 0;
    };
    port.start({}, {}, order_timeout, order_done);
    port.stop({}, {}, 1, order_timeout, order_done);
    port.pace({}, {}, order_timeout, order_done);
    port.hold({}, {}, lists_done);
    port.request_lists({}, {}, lists_done);
    EXPECT_EQ(unknown, 0); // The caller may not be ready for an answer yet.
    run_deferred();
    EXPECT_EQ(unknown, 5);
    EXPECT_TRUE(inner.starts.empty());
    EXPECT_TRUE(inner.stops.empty());
    EXPECT_TRUE(inner.paces.empty());
    EXPECT_TRUE(inner.holds.empty());
    EXPECT_TRUE(inner.list_requests.empty());
    EXPECT_EQ(counters.counter("orders_withheld_total"), 5U);
}

// Guards against a leader that sends nothing any more after it was slow once.
TEST_F(guarded_worker_port_test, sends_orders_with_permission)
{
    port.start({}, {}, order_timeout, [](const order_answer&) {});
    port.stop({}, {}, 1, order_timeout, [](const order_answer&) {});
    port.pace({}, {}, order_timeout, [](const order_answer&) {});
    port.hold({}, {}, [](const hold_answer&) {});
    port.request_lists({}, {}, [](const hold_answer&) {});
    EXPECT_EQ(inner.starts.size(), 1U);
    EXPECT_EQ(inner.stops.size(), 1U);
    EXPECT_EQ(inner.paces.size(), 1U);
    EXPECT_EQ(inner.holds.size(), 1U);
    EXPECT_EQ(inner.list_requests.size(), 1U);
    EXPECT_TRUE(deferred.empty());
}

} // namespace
} // namespace limpetstack::fleet

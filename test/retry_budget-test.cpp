#include "coordination/retry_budget.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

// Guards against retries that multiply the load of a failing service.
TEST(retry_budget, allows_a_tenth_of_the_requests)
{
    retry_budget budget(0.1, 10);
    int retries = 0;
    for (int i = 0; i < 10000; ++i)
    {
        budget.deposit();
        while (budget.withdraw())
        {
            ++retries;
        }
    }
    EXPECT_GE(retries, 1000);
    EXPECT_LE(retries, 1010);
}

// Guards against a burst of retries that was saved up over a long time.
TEST(retry_budget, does_not_save_above_the_reserve)
{
    retry_budget budget(0.1, 3);
    for (int i = 0; i < 1000; ++i)
    {
        budget.deposit();
    }
    int retries = 0;
    while (budget.withdraw())
    {
        ++retries;
    }
    EXPECT_EQ(retries, 3);
}

} // namespace
} // namespace limpetstack

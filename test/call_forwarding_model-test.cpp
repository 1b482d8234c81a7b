#include "support/call_model.hpp"

#include "platform_protocol.hpp"

#include <gtest/gtest.h>

#include <cstdint>

namespace limpetstack::fleet
{
namespace
{

constexpr unsigned histories = 400;
constexpr int events_per_history = 600;

// Guards against callers who hear that a call has not run, or has run, by an
// answer that holds for one of its sendings only: leaders change, connections
// break, sendings arrive late, and keys and queues come and go meanwhile.
TEST(call_forwarding_model, answers_hold_for_all_sendings_of_a_call)
{
    const platform::platform_protocol protocol;
    std::uint64_t refusals = 0;
    std::uint64_t superseded = 0;
    for (unsigned seed = 1; seed <= histories; ++seed)
    {
        call_model model(protocol, seed);
        model.run(events_per_history);
        for (const auto& text : model.violations())
        {
            ADD_FAILURE() << "seed " << seed << ": " << text;
        }
        refusals += model.refusals_after_unknown();
        superseded += model.superseded();
    }
    // The histories reach the cases that the test is about.
    EXPECT_GT(refusals, histories);
    EXPECT_GT(superseded, histories);
}

} // namespace
} // namespace limpetstack::fleet

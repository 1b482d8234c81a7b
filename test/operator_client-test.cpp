#include "ctl/operator_client.hpp"
#include "support/fake_operator_transport.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

const operator_reply lost{0, "", false, "sent no whole response"};

struct client_test : testing::Test
{
    fake_operator_transport transport;
    int pauses = 0;
    operator_client client{transport,
                           {"a", "b"},
                           [this](std::chrono::milliseconds)
                           {
                               ++pauses;
                           }};
};

// Guards against a command that fails while another server could answer.
TEST_F(client_test, read_tries_the_next_server)
{
    transport.replies["b"] = {{200, "ok", false, ""}};
    const auto answer = client.read("/v1/jobs");
    EXPECT_EQ(answer.result, call_result::answered);
    EXPECT_EQ(answer.body, "ok");
    EXPECT_EQ(answer.server, "b");
    EXPECT_EQ(client.read("/v1/jobs").result, call_result::unavailable);
}

// Guards against a write that is applied twice: a resend after a lost response
// must carry the same request id.
TEST_F(client_test, write_is_sent_again_with_the_same_body)
{
    transport.replies["a"] = {lost};
    transport.replies["b"] = {{504, "", false, ""}, {200, "{}", false, ""}};
    const auto answer = client.write("/v1/config", "body");
    EXPECT_EQ(answer.result, call_result::answered);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(transport.bodies,
              std::vector<std::string>({"body", "body", "body", "body"}));
    EXPECT_EQ(pauses, 1);
}

// Guards against "nothing was changed" after an attempt that may have been
// carried out, and against "unknown" when no server was reached.
TEST_F(client_test, write_without_an_outcome_is_unknown_only_if_it_was_sent)
{
    EXPECT_EQ(client.write("/v1/config", "").result, call_result::unavailable);
    transport.replies["a"] = {{503, "", false, ""}};
    EXPECT_EQ(client.write("/v1/config", "").result, call_result::unavailable);
    transport.replies["a"] = {lost, {503, "", false, ""}};
    EXPECT_EQ(client.write("/v1/config", "").result, call_result::unknown);
    transport.replies["a"] = {lost, {422, "", false, ""}};
    EXPECT_EQ(client.write("/v1/config", "").result, call_result::unknown);
    transport.replies["a"] = {lost, {409, "", false, ""}};
    EXPECT_EQ(client.write("/v1/config", "").status, 409);
    transport.replies["a"] = {{422, "", false, ""}};
    EXPECT_EQ(client.write("/v1/config", "").status, 422);
}

} // namespace
} // namespace limpetstack

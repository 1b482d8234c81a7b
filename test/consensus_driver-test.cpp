#include "coordination/consensus_driver.hpp"

#include "coordination/consensus.hpp"
#include "support/memory_log_storage.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

class driver_test : public testing::Test
{
protected:
    driver_test()
    {
        options_.id = 1;
        wire::membership members;
        for (std::uint64_t id = 1; id <= 2; ++id)
        {
            members.add_members()->set_id(id);
            members.mutable_members()->rbegin()->set_voter(true);
        }
        (void)storage_.install({1, 1, members, ""});
        (void)storage_.save_hard_state({1, 0});
        protocol_ = std::make_unique<consensus>(options_, storage_.content(),
                                                time_point{});
        callbacks_.send = [this](const wire::consensus_message& message)
        {
            sent_.push_back(message);
            // The term of a message must be durable before it is sent.
            EXPECT_GE(storage_.content().hard.term, message.term());
        };
        callbacks_.restore = [](const log_snapshot&) {};
        callbacks_.commit = [](std::uint64_t) {};
        callbacks_.confirm = [](const confirmed_read&) {};
    }

    void receive_vote_request()
    {
        wire::consensus_message request;
        request.set_from(2);
        request.set_to(1);
        request.set_term(5);
        request.mutable_vote()->set_last_index(1);
        request.mutable_vote()->set_last_term(1);
        protocol_->receive(request);
    }

    // NOLINTBEGIN(readability-identifier-naming): tests use the members of
    // their fixture.
    consensus_options options_;
    memory_log_storage storage_;
    std::unique_ptr<consensus> protocol_;
    consensus_callbacks callbacks_;
    std::vector<wire::consensus_message> sent_;
    // NOLINTEND(readability-identifier-naming)
};

// Guards against a vote that is sent before it is durable: after a crash the
// replica could vote again in the same term.
TEST_F(driver_test, vote_is_durable_before_it_is_sent)
{
    receive_vote_request();
    ASSERT_TRUE(process_outputs(*protocol_, storage_, callbacks_).ok());
    ASSERT_EQ(sent_.size(), 1U);
    EXPECT_TRUE(sent_[0].vote_answer().granted());
    EXPECT_EQ(storage_.content().hard, (hard_state{5, 2}));
}

// Guards against a voter that answers although its vote could not be synced.
TEST_F(driver_test, nothing_is_sent_after_a_storage_error)
{
    storage_.fail_after(0);
    receive_vote_request();
    EXPECT_FALSE(process_outputs(*protocol_, storage_, callbacks_).ok());
    EXPECT_TRUE(sent_.empty());
}

} // namespace
} // namespace limpetstack

#include "coordination/journal_copy.hpp"

#include "peer.pb.h"
#include "state/journal.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

constexpr std::uint64_t store = 7;

class journal_copy_test : public testing::Test
{
protected:
    // A message of the owner "a" with records `first` to `last`.
    static wire::journal_append message(std::uint64_t epoch,
                                        std::uint64_t previous,
                                        std::uint64_t previous_epoch,
                                        std::uint64_t last)
    {
        wire::journal_append result;
        result.set_data_centre("dc1");
        result.set_epoch(epoch);
        result.set_incarnation(1);
        result.set_owner("a");
        result.set_copy_store(store);
        result.set_previous_sequence(previous);
        result.set_previous_epoch(previous_epoch);
        result.set_owner_last(last);
        for (auto i = previous + 1; i <= last; ++i)
        {
            auto& record = *result.add_records();
            record.set_sequence(i);
            record.set_epoch(epoch);
            record.mutable_request()->set_id("dc1-1-ff-" + std::to_string(i));
        }
        return result;
    }

    static wire::journal_append full_copy(std::uint64_t epoch,
                                          std::uint64_t last)
    {
        auto result = message(epoch, 0, 0, last);
        result.set_previous_sequence(last);
        result.set_previous_epoch(epoch);
        result.set_full_copy(true);
        result.set_copy_id(1);
        result.set_last_part(true);
        return result;
    }

    wire::journal_append_response send(const wire::journal_append& sent,
                                       std::uint64_t known_epoch = 0)
    {
        return copy_.receive(sent, known_epoch, "a");
    }

    std::unique_ptr<journal> journal_ = *journal::open(nullptr, store);
    journal_copy copy_{*journal_, "dc1"};
};

// Guards against records taken from an owner of an earlier epoch.
TEST_F(journal_copy_test, refuses_a_lower_epoch)
{
    EXPECT_TRUE(send(full_copy(5, 3)).accepted());
    const auto late = send(message(4, 3, 5, 4));
    EXPECT_FALSE(late.accepted());
    EXPECT_EQ(late.epoch(), 5U);
    // An owner record is a promise too.
    EXPECT_FALSE(send(message(5, 3, 5, 4), 6).accepted());
    EXPECT_TRUE(send(message(5, 3, 5, 4), 5).accepted());
}

// Guards against a message for memory that this host lost in a restart.
TEST_F(journal_copy_test, refuses_what_is_meant_for_another_store)
{
    auto sent = full_copy(5, 3);
    sent.set_copy_store(store + 1);
    EXPECT_FALSE(send(sent).accepted());
    EXPECT_EQ(send(sent).store(), store);
}

// Guards against two histories joined in one journal.
TEST_F(journal_copy_test, takes_records_only_after_the_same_history)
{
    EXPECT_FALSE(send(message(5, 0, 0, 1)).accepted()); // Other incarnation.
    EXPECT_TRUE(send(full_copy(5, 3)).accepted());
    EXPECT_FALSE(send(message(6, 3, 4, 4)).accepted());
    EXPECT_FALSE(send(message(6, 4, 5, 5)).accepted());
    EXPECT_TRUE(send(message(6, 3, 5, 4)).accepted());
    // A resend within the epoch changes nothing.
    EXPECT_EQ(send(message(6, 3, 5, 4)).last_sequence(), 4U);
}

// Guards against a copy that may become the owner although records that the
// owner made durable alone have not reached it.
TEST_F(journal_copy_test, is_complete_once_it_has_reached_the_owner)
{
    auto candidate = full_copy(5, 3);
    candidate.set_candidate(true);
    EXPECT_EQ(send(candidate).complete_epoch(), 0U);
    EXPECT_EQ(copy_.candidate_epoch(), 5U);
    auto first = message(6, 3, 5, 4);
    first.set_owner_last(5);
    EXPECT_EQ(send(first).complete_epoch(), 0U);
    EXPECT_EQ(send(message(6, 4, 6, 5)).complete_epoch(), 6U);
    EXPECT_EQ(copy_.candidate_epoch(), 0U);
}

// Guards against acknowledged records lost to a full copy that comes late.
TEST_F(journal_copy_test, late_full_copy_takes_nothing_back)
{
    EXPECT_TRUE(send(full_copy(5, 3)).accepted());
    EXPECT_TRUE(send(message(5, 3, 5, 6)).accepted());
    EXPECT_EQ(send(full_copy(5, 3)).last_sequence(), 6U);
}

// Guards against a full copy put together from two attempts.
TEST_F(journal_copy_test, installs_only_parts_of_one_full_copy)
{
    auto part = full_copy(5, 3);
    part.set_last_part(false);
    EXPECT_TRUE(send(part).accepted());
    EXPECT_EQ(journal_->position().last_sequence, 0U);
    part.set_part(1);
    part.set_copy_id(2);
    part.set_last_part(true);
    EXPECT_FALSE(send(part).accepted());
    part.set_copy_id(1);
    EXPECT_TRUE(send(part).accepted());
    EXPECT_EQ(journal_->position().last_sequence, 3U);
}

} // namespace
} // namespace limpetstack

#include "coordination/ownership.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

ownership_host host(const std::string& name, bool disk, std::uint64_t store)
{
    ownership_host result;
    result.live = true;
    result.entry.set_host(name);
    result.entry.set_data_centre("dc1");
    result.entry.set_has_disk(disk);
    result.entry.mutable_journal()->set_store(store);
    return result;
}

wire::owner_record pair_record()
{
    wire::owner_record record;
    record.set_data_centre("dc1");
    record.set_epoch(5);
    record.set_incarnation(2);
    record.set_owner("a");
    record.set_copy("b");
    record.set_owner_store(1);
    record.set_copy_store(2);
    return record;
}

// Hosts a (owner), b (copy) and c, all in order under pair_record().
std::vector<ownership_host> good_hosts()
{
    std::vector<ownership_host> hosts = {
        host("a", true, 1), host("b", false, 2), host("c", true, 3)};
    for (auto& entry : hosts)
    {
        auto& journal = *entry.entry.mutable_journal();
        journal.set_epoch(5);
        journal.set_incarnation(2);
        journal.set_complete_epoch(entry.entry.host() == "c" ? 0 : 5);
    }
    return hosts;
}

class ownership_test : public testing::Test
{
protected:
    // Returns the first proposal within a time, asked once a second.
    std::optional<wire::owner_record>
    within(milliseconds limit, const std::vector<wire::owner_record>& records,
           const std::vector<ownership_host>& hosts)
    {
        for (const auto end = now_ + limit; now_ <= end;
             now_ += milliseconds(1000))
        {
            const auto proposals = decision_.propose(records, hosts, now_);
            if (!proposals.empty())
            {
                return proposals.front();
            }
        }
        return std::nullopt;
    }

    ownership decision_{ownership_options{}};
    time_point now_{};
};

constexpr milliseconds minute(60000);

// Guards against a first owner without a disk or without a copy.
TEST_F(ownership_test, first_record_prefers_disks_and_names_a_copy)
{
    const auto next =
        within(minute, {},
               {host("a", false, 1), host("b", true, 2), host("c", true, 3)});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->epoch(), 1U);
    EXPECT_EQ(next->incarnation(), 1U);
    EXPECT_EQ(next->owner(), "b");
    EXPECT_EQ(next->copy(), "c");
    EXPECT_EQ(next->owner_store(), 2U);
    EXPECT_EQ(next->copy_store(), 3U);
}

// Guards against changes without a cause.
TEST_F(ownership_test, leaves_a_good_pair_alone)
{
    EXPECT_FALSE(within(minute, {pair_record()}, good_hosts()));
}

// Guards against an owner that stays closed after its copy is lost.
TEST_F(ownership_test, owner_without_its_copy_continues_alone)
{
    auto hosts = good_hosts();
    hosts[0].entry.mutable_journal()->set_copy_lost(true);
    const auto next = within(minute, {pair_record()}, hosts);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->epoch(), 6U);
    EXPECT_EQ(next->incarnation(), 2U);
    EXPECT_EQ(next->owner(), "a");
    EXPECT_EQ(next->copy(), "");
}

// Guards against an owner's journal that is given to another host than the
// complete copy, for each way of losing the owner.
TEST_F(ownership_test, only_the_complete_copy_follows_the_owner)
{
    for (const int loss : {0, 1, 2})
    {
        decision_ = ownership(ownership_options{});
        auto hosts = good_hosts();
        hosts[0].live = loss != 0;
        hosts[0].entry.mutable_journal()->set_lost(loss == 1);
        hosts[0].entry.mutable_journal()->set_store(loss == 2 ? 9 : 1);
        const auto next = within(milliseconds(5000), {pair_record()}, hosts);
        ASSERT_TRUE(next);
        EXPECT_EQ(next->owner(), "b");
        EXPECT_EQ(next->owner_store(), 2U);
        EXPECT_EQ(next->copy(), "");
        EXPECT_EQ(next->incarnation(), 2U);
    }
}

// Guards against a journal that is given up before its hosts may return, and
// against a promoted copy that lacks records.
TEST_F(ownership_test, new_incarnation_only_after_the_long_timeout)
{
    for (const int loss : {0, 1, 2})
    {
        decision_ = ownership(ownership_options{});
        auto hosts = good_hosts();
        hosts[0].live = false;
        hosts[1].live = loss != 0;
        hosts[1].entry.mutable_journal()->set_complete_epoch(loss == 1 ? 4 : 5);
        hosts[1].entry.mutable_journal()->set_store(loss == 2 ? 9 : 2);
        EXPECT_FALSE(within(milliseconds(29000), {pair_record()}, hosts));
        const auto next = within(milliseconds(5000), {pair_record()}, hosts);
        ASSERT_TRUE(next);
        EXPECT_EQ(next->epoch(), 6U);
        EXPECT_EQ(next->incarnation(), 3U);
        EXPECT_EQ(next->owner(), "c");
    }
}

// Guards against a copy that is entered before it has the journal.
TEST_F(ownership_test, enters_only_a_prepared_copy)
{
    auto record = pair_record();
    record.set_copy("");
    record.set_copy_store(0);
    auto hosts = good_hosts();
    EXPECT_EQ(choose_candidate(record, hosts), "c");
    hosts[2].entry.mutable_journal()->set_candidate_epoch(4);
    EXPECT_FALSE(within(minute, {record}, hosts));
    hosts[2].entry.mutable_journal()->set_candidate_epoch(5);
    const auto next = within(minute, {record}, hosts);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->copy(), "c");
    EXPECT_EQ(next->copy_store(), 3U);
    EXPECT_EQ(next->owner(), "a");
}

// Guards against owner records that change with every look.
TEST_F(ownership_test, one_change_per_host_timeout)
{
    auto hosts = good_hosts();
    hosts[0].live = false;
    ASSERT_TRUE(within(minute, {pair_record()}, hosts));
    EXPECT_TRUE(
        decision_.propose({pair_record()}, hosts, now_ + milliseconds(1999))
            .empty());
}

} // namespace
} // namespace limpetstack

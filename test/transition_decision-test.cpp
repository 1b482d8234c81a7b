#include "coordination/transition_decision.hpp"

#include <gtest/gtest.h>

namespace limpetstack
{
namespace
{

const id_rules rules = {"dc1", 2, 0x100, 0x200, false};

wire::request_record record(const std::string& id, wire::request_phase phase,
                            const std::string& body_hash = "")
{
    wire::request_record result;
    result.set_id(id);
    result.set_phase(phase);
    result.set_body_hash(body_hash);
    return result;
}

transition_kind kind_of(const std::string& id)
{
    return decide_transition(record(id, wire::request_started), {}, rules).kind;
}

// Guards against an id that a lost journal or the retention has decided
// already, and that counts as absent here.
TEST(transition_decision, refuses_ids_that_it_can_not_judge)
{
    EXPECT_EQ(kind_of("dc1-2-100-a"), transition_kind::write);
    EXPECT_EQ(kind_of("dc1-2-ff-a"), transition_kind::refuse);
    EXPECT_EQ(kind_of("dc1-2-201-a"), transition_kind::refuse);
    EXPECT_EQ(kind_of("dc1-1-150-a"), transition_kind::refuse);
    EXPECT_EQ(kind_of("dc2-2-150-a"), transition_kind::refuse);
    EXPECT_EQ(kind_of("other"), transition_kind::refuse);
}

// Guards against an answer to one request that is given to another.
TEST(transition_decision, refuses_another_body_under_the_id)
{
    const std::string id = "dc1-2-150-a";
    auto done = record(id, wire::request_done, "hash1");
    done.set_answer("paid");
    const auto same = decide_transition(
        record(id, wire::request_started, "hash1"), done, rules);
    EXPECT_EQ(same.kind, transition_kind::answer);
    EXPECT_EQ(same.record.answer(), "paid");
    const auto other = decide_transition(
        record(id, wire::request_started, "hash2"), done, rules);
    EXPECT_EQ(other.kind, transition_kind::answer);
    EXPECT_EQ(other.record.answer(), "");
    EXPECT_NE(other.reason, "");
}

// Guards against a done record that forgets what it answers.
TEST(transition_decision, keeps_account_and_body_hash)
{
    const std::string id = "dc1-2-150-a";
    auto started = record(id, wire::request_started, "hash1");
    started.set_account("addis");
    const auto done =
        decide_transition(record(id, wire::request_done), started, rules);
    EXPECT_EQ(done.kind, transition_kind::write);
    EXPECT_EQ(done.record.account(), "addis");
    EXPECT_EQ(done.record.body_hash(), "hash1");
}

} // namespace
} // namespace limpetstack

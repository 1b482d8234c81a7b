#include "coordination/fleet/consensus_runner.hpp"

#include "support/memory_log_storage.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr std::size_t replica_count = 3;
constexpr milliseconds step{10};

class immediate_disk : public disk_queue
{
public:
    void run(std::function<absl::Status()> job,
             std::function<void(absl::Status)> done) override
    {
        done(job());
    }
};

class replicas
{
public:
    replicas()
    {
        wire::membership founders;
        for (std::size_t i = 0; i < replica_count; ++i)
        {
            auto& member = *founders.add_members();
            member.set_id(i + 1);
            member.set_host("host" + std::to_string(i));
            member.set_peer_address("address" + std::to_string(i));
            member.set_voter(true);
        }
        wire::log_entry entry;
        entry.set_index(1);
        entry.set_term(1);
        entry.set_kind(wire::entry_membership);
        entry.set_payload(founders.SerializeAsString());
        for (std::size_t i = 0; i < replica_count; ++i)
        {
            (void)storage_[i].append({entry});
            consensus_options options;
            options.id = i + 1;
            options.peer_address = "address" + std::to_string(i);
            options.seed = i;
            consensus_runner::callbacks callbacks;
            callbacks.send = [this](const wire::consensus_message& message)
            {
                if (!disconnected)
                {
                    messages_.push_back(message);
                }
            };
            callbacks.on_applied = [](const fleet_command&, apply_result) {};
            callbacks.on_batch_applied = [] {};
            callbacks.on_state_restored = [] {};
            callbacks.on_disk_error = [](const absl::Status& status)
            {
                ADD_FAILURE() << status;
            };
            runners_[i] = std::make_unique<consensus_runner>(
                options, storage_[i].content(), storage_[i], disk_, states_[i],
                callbacks, now_);
        }
    }

    void run(milliseconds duration)
    {
        for (const auto end = now_ + duration; now_ < end;)
        {
            now_ += step;
            for (auto& message : std::exchange(messages_, {}))
            {
                runners_[message.to() - 1]->receive(message, now_);
            }
            for (auto& runner : runners_)
            {
                runner->tick(now_);
            }
        }
    }

    consensus_runner* leader()
    {
        for (auto& runner : runners_)
        {
            if (runner->replica().is_leader())
            {
                return runner.get();
            }
        }
        return nullptr;
    }

    bool disconnected = false;

private:
    immediate_disk disk_;
    memory_log_storage storage_[replica_count];
    fleet_state states_[replica_count];
    std::unique_ptr<consensus_runner> runners_[replica_count];
    std::deque<wire::consensus_message> messages_;
    time_point now_{milliseconds(1000000)};
};

// Guards against a placement or an end that is dropped while its leader still
// leads: the leader counts on it, and the subtask never starts again.
TEST(consensus_runner, proposals_wait_while_too_many_are_uncommitted)
{
    replicas group;
    group.run(milliseconds(5000));
    auto* const leader = group.leader();
    ASSERT_NE(leader, nullptr);
    constexpr int proposals = 1200;
    int applied = 0;
    int rejected = 0;
    group.disconnected = true;
    for (int i = 0; i < proposals; ++i)
    {
        fleet_command command;
        command.mutable_worker()->set_id("w" + std::to_string(i));
        leader->propose(std::move(command),
                        [&](proposal_outcome outcome, apply_result)
                        {
                            ++(outcome == proposal_outcome::applied ? applied
                                                                    : rejected);
                        });
        leader->pump();
    }
    group.disconnected = false;
    group.run(milliseconds(3000));
    EXPECT_EQ(group.leader(), leader);
    EXPECT_EQ(rejected, 0);
    EXPECT_EQ(applied, proposals);
}

} // namespace
} // namespace limpetstack::fleet

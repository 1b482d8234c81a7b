// Configuration and control group under failures of real processes.

#include "experiment/deployment.hpp"
#include "experiment/http.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace limpetstack::test
{
namespace
{

using nlohmann::json;

class control_process : public testing::Test
{
protected:
    control_process()
        : folder(test_folder(
              testing::UnitTest::GetInstance()->current_test_info()->name()))
        , system(folder, {{"a1", "north", true, true},
                          {"a2", "north", false, false},
                          {"b1", "south", true, true},
                          {"b2", "south", false, false},
                          {"c1", "west", true, true}})
    {
        system.start();
    }

    ~control_process() override
    {
        if (!HasFailure())
        {
            std::error_code ignored;
            std::filesystem::remove_all(folder, ignored);
        }
    }

    int voters(const std::string& host) const
    {
        const auto members = system.ask(host, "/v1/members");
        int count = 0;
        if (members.is_object() && members.contains("members"))
        {
            for (const auto& member : members["members"])
            {
                count += member.value("voter", false) ? 1 : 0;
            }
        }
        return count;
    }

    bool group_formed() const
    {
        return wait_until(
            [&]
            {
                return voters("a1") == 3;
            });
    }

    std::string leader(const std::string& asked) const
    {
        const auto members = system.ask(asked, "/v1/members");
        if (members.is_object() && members.contains("members"))
        {
            for (const auto& member : members["members"])
            {
                if (member.value("leader", false))
                {
                    return member.value("host", "");
                }
            }
        }
        return "";
    }

    // Waits until the last accepted version is in force at the host, then
    // applies documents one after the other until `version` is accepted.
    bool apply_up_to(const std::string& host, std::uint64_t version,
                     const std::string& prefix)
    {
        if (accepted > 0 && !in_force({host}, accepted))
        {
            ADD_FAILURE() << host << " does not get version " << accepted;
            return false;
        }
        auto current = accepted;
        while (current < version)
        {
            const auto outcome = system.apply(
                host, current, sample_document(1 + static_cast<int>(current)),
                prefix + std::to_string(current));
            if (outcome.value("code", "") != "accepted")
            {
                ADD_FAILURE() << outcome.dump();
                return false;
            }
            current = outcome.value("version", 0ULL);
        }
        accepted = current;
        return true;
    }

    bool in_force(const std::vector<std::string>& hosts,
                  std::uint64_t version) const
    {
        return wait_until(
            [&]
            {
                for (const auto& host : hosts)
                {
                    if (system.version_at(host) != version)
                    {
                        return false;
                    }
                }
                return true;
            });
    }

    const std::string folder;
    deployment system;
    std::uint64_t accepted = 0; // Last version that apply_up_to got accepted.
};

/// Watches the version in force at every host and notes any that goes down.
class version_watch
{
public:
    explicit version_watch(const deployment& system)
        : system_(system)
        , thread_(
              [this]
              {
                  run();
              })
    {
    }

    ~version_watch() { stop(); }

    void stop()
    {
        stopping_ = true;
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    const std::string& violation() const { return violation_; }

private:
    void run()
    {
        std::map<std::string, std::uint64_t> highest;
        while (!stopping_)
        {
            for (const auto& host : system_.hosts())
            {
                // 0 means that the host is down or has nothing in force yet.
                const auto version = system_.version_at(host);
                if (version != 0 && version < highest[host])
                {
                    violation_ = host + " went from " +
                                 std::to_string(highest[host]) + " to " +
                                 std::to_string(version);
                }
                highest[host] = std::max(highest[host], version);
            }
        }
    }

    const deployment& system_;
    std::atomic<bool> stopping_{false};
    std::string violation_;
    std::thread thread_;
};

using invariant = control_process;

// Guards against two operators that both win with the same base version, and
// against a resend that applies its document a second time.
TEST_F(invariant, config_monotonic_operator_race_and_resend)
{
    ASSERT_TRUE(group_formed());
    ASSERT_TRUE(apply_up_to("a1", 1, "first-"));
    for (std::uint64_t round = 1; round <= 5; ++round)
    {
        std::vector<json> outcomes(4);
        std::vector<std::thread> operators;
        const std::vector<std::string> hosts = {"a1", "a2", "b1", "c1"};
        for (std::size_t i = 0; i < hosts.size(); ++i)
        {
            operators.emplace_back(
                [&, i]
                {
                    outcomes[i] = system.apply(
                        hosts[i], round, sample_document(10 + int(i)),
                        "race-" + std::to_string(round) + "-" + hosts[i],
                        "operator-" + hosts[i]);
                });
        }
        for (auto& thread : operators)
        {
            thread.join();
        }
        int accepted = 0;
        std::string winner;
        std::size_t winner_index = 0;
        for (std::size_t i = 0; i < hosts.size(); ++i)
        {
            if (outcomes[i].value("code", "") == "accepted")
            {
                ++accepted;
                winner = "operator-" + hosts[i];
                winner_index = i;
            }
        }
        ASSERT_EQ(accepted, 1) << json(outcomes).dump();
        for (std::size_t i = 0; i < hosts.size(); ++i)
        {
            if (i != winner_index)
            {
                EXPECT_EQ(outcomes[i].value("code", ""), "conflict");
                EXPECT_EQ(outcomes[i].value("winner", ""), winner);
            }
        }
        // A resend, through another host, hears the first outcome.
        const auto again = system.apply(
            "b2", round, sample_document(10 + int(winner_index)),
            "race-" + std::to_string(round) + "-" + hosts[winner_index],
            winner);
        EXPECT_EQ(again.value("code", ""), "accepted");
        EXPECT_EQ(again.value("version", 0ULL), round + 1);
    }
    EXPECT_TRUE(in_force(system.hosts(), 6));
}

// Guards against a version that is lost or goes back when the leader is
// killed, a data centre is cut off, and daemons restart.
TEST_F(invariant, config_monotonic_under_kills_and_cuts)
{
    ASSERT_TRUE(group_formed());
    ASSERT_TRUE(apply_up_to("a1", 3, "first-"));
    ASSERT_TRUE(in_force(system.hosts(), 3));
    version_watch watch(system);
    const auto first_leader = leader("a1");
    system.kill(first_leader);
    const std::string other = first_leader == "b1" ? "c1" : "b1";
    ASSERT_TRUE(wait_until(
        [&]
        {
            const auto now = leader(other);
            return !now.empty() && now != first_leader;
        }));
    ASSERT_TRUE(apply_up_to(other, 6, "second-"));
    system.restart(first_leader);
    ASSERT_TRUE(in_force(system.hosts(), 6));

    system.set_data_centre("south", link_state::black_hole);
    system.kill("b2");
    system.restart("b2");
    ASSERT_TRUE(wait_until(
        [&]
        {
            const auto now = leader("c1");
            return now == "a1" || now == "c1";
        }));
    ASSERT_TRUE(apply_up_to("c1", 9, "third-"));
    ASSERT_TRUE(in_force({"a1", "a2", "c1"}, 9));
    // The host that is cut off keeps its version in force.
    EXPECT_EQ(system.version_at("b1"), 6U);
    system.set_data_centre("south", link_state::open);
    EXPECT_TRUE(in_force(system.hosts(), 9));
    watch.stop();
    EXPECT_EQ(watch.violation(), "");
}

// Guards against a restart that loses state after hundreds of changes, when
// snapshots have replaced the log.
TEST_F(invariant, config_monotonic_restart_after_500_changes)
{
    ASSERT_TRUE(group_formed());
    ASSERT_TRUE(apply_up_to("a1", 520, "many-"));
    for (const auto& host : system.hosts())
    {
        system.kill(host);
    }
    for (const auto& host : system.hosts())
    {
        system.restart(host);
    }
    ASSERT_TRUE(in_force(system.hosts(), 520));
    // The outcome of an early request is still remembered.
    const auto again = system.apply("c1", 0, sample_document(1), "many-0");
    EXPECT_EQ(again.value("code", ""), "accepted");
    EXPECT_EQ(again.value("version", 0ULL), 1U);
    EXPECT_EQ(system.version_at("c1"), 520U);
}

// Guards against a host whose erased disk votes under its old identity, and
// against the loss of accepted versions when a second host is lost right after
// the first was repaired.
TEST_F(invariant, config_monotonic_second_host_lost_after_repair)
{
    ASSERT_TRUE(group_formed());
    ASSERT_TRUE(apply_up_to("a1", 5, "first-"));
    const auto id_of = [&](const std::string& host) -> std::string
    {
        const auto members = system.ask("a1", "/v1/members");
        if (members.is_object() && members.contains("members"))
        {
            for (const auto& member : members["members"])
            {
                if (member.value("host", "") == host &&
                    member.value("voter", false))
                {
                    return member.value("id", "");
                }
            }
        }
        return "";
    };
    const auto old_id = id_of("c1");
    ASSERT_NE(old_id, "");
    system.kill("c1");
    system.erase_folder("c1");
    ASSERT_TRUE(apply_up_to("a1", 8, "second-"));
    system.restart("c1");
    ASSERT_TRUE(wait_until(
        [&]
        {
            const auto id = id_of("c1");
            return !id.empty() && id != old_id && voters("a1") == 3;
        }));
    system.kill("b1");
    ASSERT_TRUE(apply_up_to("a1", 11, "third-"));
    EXPECT_TRUE(in_force({"a1", "a2", "c1"}, 11));
    system.kill("a1");
    system.restart("b1");
    ASSERT_TRUE(wait_until(
        [&]
        {
            const auto now = leader("b1");
            return now == "b1" || now == "c1";
        }));
    EXPECT_TRUE(in_force({"b1", "c1"}, 11));
    ASSERT_TRUE(apply_up_to("c1", 12, "fourth-"));
}

// Guards against a leader that goes on as one while it is frozen or isolated,
// and disturbs the group when it returns.
TEST_F(invariant, config_monotonic_frozen_leader_steps_down)
{
    ASSERT_TRUE(group_formed());
    ASSERT_TRUE(apply_up_to("a1", 2, "first-"));
    const auto old_leader = leader("a1");
    system.daemon(old_leader).signal(SIGSTOP);
    const std::string other = old_leader == "b1" ? "c1" : "b1";
    ASSERT_TRUE(wait_until(
        [&]
        {
            const auto now = leader(other);
            return !now.empty() && now != old_leader;
        }));
    ASSERT_TRUE(apply_up_to(other, 4, "second-"));
    const auto new_leader = leader(other);
    system.daemon(old_leader).signal(SIGCONT);
    // The host that was frozen serves a write only through the new leader.
    ASSERT_TRUE(wait_until(
        [&]
        {
            return system.version_at(old_leader) == 4;
        }));
    const auto outcome =
        system.apply(old_leader, 4, sample_document(9), "after");
    EXPECT_EQ(outcome.value("code", ""), "accepted");
    EXPECT_EQ(outcome.value("version", 0ULL), 5U);
    EXPECT_EQ(leader(other), new_leader);
    EXPECT_TRUE(in_force(system.hosts(), 5));
}

// Guards against an acknowledged change that a torn last record takes along,
// and against a start on a damaged log.
TEST_F(invariant, config_monotonic_torn_last_record)
{
    ASSERT_TRUE(group_formed());
    ASSERT_TRUE(apply_up_to("a1", 4, "first-"));
    ASSERT_TRUE(in_force(system.hosts(), 4));
    for (const std::string host : {"a1", "b1", "c1"})
    {
        system.kill(host);
    }
    for (const auto& entry :
         std::filesystem::directory_iterator(system.data_folder("b1")))
    {
        if (entry.path().filename().string().find("log") != std::string::npos)
        {
            std::ofstream file(entry.path(), std::ios::binary | std::ios::app);
            file << "\x40\x01\x02torn";
        }
    }
    for (const std::string host : {"a1", "b1", "c1"})
    {
        system.restart(host);
    }
    EXPECT_TRUE(in_force(system.hosts(), 4));
    ASSERT_TRUE(apply_up_to("b1", 5, "second-"));
    EXPECT_TRUE(in_force(system.hosts(), 5));
}

class console : public control_process
{
protected:
    http_answer press(const std::string& action, std::uint64_t base_version,
                      const std::string& weight,
                      const std::string& request_id) const
    {
        const std::string body = "action=" + action + "&base_version=" +
                                 std::to_string(base_version) +
                                 "&request_id=" + request_id +
                                 "&operator=clerk"
                                 "&client_accounts%5B0%5D.name=addis"
                                 "&client_accounts%5B0%5D.weight=" +
                                 weight;
        return post(system.operators("a2"), "/console", body,
                    {{"Content-Type", "application/x-www-form-urlencoded"}},
                    std::chrono::seconds(15));
    }
};

// Guards against a console that applies what limpetctl would refuse, applies
// a page twice, or hides a lost race.
TEST_F(console, applies_checks_and_reports_conflicts)
{
    ASSERT_TRUE(group_formed());
    EXPECT_EQ(press("check", 0, "none", "p0").status, 422);
    EXPECT_EQ(press("apply", 0, "none", "p0").status, 422);
    EXPECT_EQ(system.version_at("a2"), 0U);
    const auto accepted = press("apply", 0, "3", "p1");
    EXPECT_EQ(accepted.status, 200) << accepted.body;
    const auto repeated = press("apply", 0, "3", "p1");
    EXPECT_EQ(repeated.status, 200);
    EXPECT_NE(repeated.body.find("Accepted as version 1"), std::string::npos);
    ASSERT_TRUE(in_force(system.hosts(), 1));
    const auto late = press("apply", 0, "4", "p2");
    EXPECT_EQ(late.status, 422);
    EXPECT_NE(late.body.find("clerk was faster"), std::string::npos)
        << late.body;
    const auto shown = get(system.operators("b2"), "/console");
    EXPECT_NE(shown.body.find("value=\"addis\""), std::string::npos);
}

} // namespace
} // namespace limpetstack::test

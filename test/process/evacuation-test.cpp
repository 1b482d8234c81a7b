// Evacuation of a data centre with real processes.

#include "experiment/deployment.hpp"
#include "experiment/http.hpp"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <string>
#include <thread>

namespace limpetstack::test
{
namespace
{

using nlohmann::json;

class evacuation_process : public testing::Test
{
protected:
    evacuation_process()
        : folder(test_folder(
              testing::UnitTest::GetInstance()->current_test_info()->name()))
        , system(folder, {{"a1", "north", true, true},
                          {"a2", "north", false, false},
                          {"b1", "south", true, true},
                          {"c1", "west", true, true}})
    {
        system.start();
    }

    ~evacuation_process() override
    {
        if (!HasFailure())
        {
            std::error_code ignored;
            std::filesystem::remove_all(folder, ignored);
        }
    }

    json change(const std::string& host, bool start,
                const std::string& query) const
    {
        httplib::Client client("http://" + system.operators(host));
        client.set_read_timeout(std::chrono::seconds(15));
        const auto path = "/v1/evacuations/north?" + query;
        const auto answer = start ? client.Put(path) : client.Delete(path);
        return answer ? json::parse(answer->body, nullptr, false) : json();
    }

    std::string leader() const
    {
        const auto members = system.ask("b1", "/v1/members");
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

    bool listed_everywhere(std::size_t count) const
    {
        return wait_until(
            [&]
            {
                for (const auto& host : system.hosts())
                {
                    const auto list = system.ask(host, "/v1/evacuations");
                    if (!list.is_object() ||
                        list["evacuations"].size() != count)
                    {
                        return false;
                    }
                }
                return true;
            });
    }

    // Events in the history of the worker's tasks.
    std::size_t task_events() const
    {
        const auto answer = get(system.stand_in_address("w1"), "/history");
        const auto history = json::parse(answer.body, nullptr, false);
        const bool complete = history.is_object() && history.contains("events");
        EXPECT_TRUE(complete) << answer.body;
        return complete ? history["events"].size() : 0;
    }

    const std::string folder;
    deployment system;
};

// Guards against an evacuation that is acknowledged and then lost with the
// leader, against a resend that counts as another change, and against a job
// that starts meanwhile or does not start afterwards.
TEST_F(evacuation_process, survives_its_leader_and_holds_jobs_back)
{
    system.add_worker("w1", "north", "rack-1");
    ASSERT_TRUE(wait_until(
        [&]
        {
            return system.apply("a1", 0, sample_document(), "first")
                       .value("code", "") == "accepted";
        }));
    ASSERT_TRUE(wait_until(
        [&]
        {
            const auto list = system.ask("a1", "/v1/workers");
            const auto members = system.ask("b1", "/v1/members");
            return system.version_at("a1") == 1 && list.is_object() &&
                   list["workers"].size() == 1 && members.is_object() &&
                   members.value("members", json::array()).size() == 3;
        }));
    // A host without a disk, which does not lead, passes the call on.
    const std::string query = "operator=ana&request_id=start-1";
    const auto started = change("a2", true, query);
    EXPECT_EQ(started.value("code", ""), "accepted") << started.dump();
    EXPECT_TRUE(started.value("changed", false));
    ASSERT_TRUE(listed_everywhere(1));

    const json job = {{"service", "appraisal"}, {"members", 1},
                      {"accelerators", 1},      {"cores", 1},
                      {"memory_mib", 1024},     {"adjacency", "any"},
                      {"data_centre", "north"}, {"command", "run_ms=100"}};
    std::string path;
    ASSERT_TRUE(wait_until(
        [&]
        {
            const auto answer =
                post(system.callers("a1"), "/v1/accounts/addis/jobs",
                     job.dump(), {}, std::chrono::seconds(10));
            const auto content = json::parse(answer.body, nullptr, false);
            path = answer.status == 202
                       ? "/v1/accounts/addis/jobs/" + content.value("id", "")
                       : "";
            return !path.empty();
        }));

    const auto first = leader();
    ASSERT_FALSE(first.empty());
    system.kill(first);
    const std::string other = first == "b1" ? "c1" : "b1";
    json again;
    EXPECT_TRUE(wait_until(
        [&]
        {
            again = change(other, true, query);
            return again.is_object() && again.value("code", "") == "accepted";
        }))
        << again.dump();
    EXPECT_TRUE(again.value("changed", false)) << "the first outcome";
    system.restart(first);
    EXPECT_TRUE(listed_everywhere(1));
    // Longer than a lease and the election of an owner.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    json shown;
    EXPECT_TRUE(wait_until(
        [&]
        {
            shown = json::parse(get(system.callers("a1"), path).body, nullptr,
                                false);
            return shown.is_object() && shown.value("state", "") == "queued";
        }));
    EXPECT_EQ(shown.value("reason", ""),
              "waits: data centre north is evacuated")
        << shown.dump();
    EXPECT_EQ(task_events(), 0U);

    const auto ended = change("c1", false, "operator=ana");
    EXPECT_EQ(ended.value("code", ""), "accepted") << ended.dump();
    EXPECT_TRUE(ended.value("changed", false));
    EXPECT_TRUE(listed_everywhere(0));
    EXPECT_TRUE(wait_until(
        [&]
        {
            shown = json::parse(get(system.callers("a1"), path).body, nullptr,
                                false);
            return shown.is_object() && shown.value("state", "") == "done";
        }))
        << shown.dump();
    EXPECT_GT(task_events(), 0U);
}

} // namespace
} // namespace limpetstack::test

// The job path under failures of real processes, by history checking.

#include "experiment/deployment.hpp"
#include "experiment/http.hpp"
#include "support/gang_history.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::test
{
namespace
{

using nlohmann::json;

// The bound of the design page: one lease.
constexpr std::int64_t partial_gang_bound_ms = 3000;
constexpr std::uint32_t gang_members = 2;

class job_process : public testing::Test
{
protected:
    job_process()
        : folder(test_folder(
              testing::UnitTest::GetInstance()->current_test_info()->name()))
        , system(folder, {{"a1", "north", true, true},
                          {"a2", "north", false, false},
                          {"b1", "south", true, true},
                          {"c1", "west", true, true}})
    {
        system.start();
    }

    ~job_process() override
    {
        if (!HasFailure())
        {
            std::error_code ignored;
            std::filesystem::remove_all(folder, ignored);
        }
    }

    void prepare(int count, const std::string& document)
    {
        for (int i = 0; i < count; ++i)
        {
            const auto id = "worker-" + std::to_string(i);
            system.add_worker(id, "north", "rack-" + std::to_string(i / 3));
            workers.push_back(id);
        }
        ASSERT_TRUE(wait_until(
            [&]
            {
                return system.apply("a1", 0, document, "first")
                           .value("code", "") == "accepted";
            }));
        ASSERT_TRUE(wait_until(
            [&]
            {
                const auto list = system.ask("a1", "/v1/workers");
                return system.version_at("a1") == 1 && list.is_object() &&
                       list["workers"].size() == workers.size() &&
                       post(system.callers("a1"), "/v1/request-ids", "")
                               .status == 200;
            }));
    }

    std::string submit(const std::string& host, const std::string& account,
                       const json& changes = json::object()) const
    {
        json job = {{"service", "appraisal"}, {"members", gang_members},
                    {"accelerators", 8},      {"cores", 4},
                    {"memory_mib", 1024},     {"adjacency", "rack"},
                    {"data_centre", "north"}, {"command", "run_ms=4000"}};
        job.update(changes);
        std::string id;
        const bool accepted = wait_until(
            [&]
            {
                const auto answer = post(
                    system.callers(host), "/v1/accounts/" + account + "/jobs",
                    job.dump(), {}, std::chrono::seconds(10));
                const auto content = json::parse(answer.body, nullptr, false);
                id = answer.status == 202 ? content.value("id", "") : "";
                return !id.empty();
            });
        EXPECT_TRUE(accepted);
        return id;
    }

    std::string state(const std::string& id,
                      const std::string& account = "addis") const
    {
        const auto answer = get(system.callers("a1"),
                                "/v1/accounts/" + account + "/jobs/" + id);
        const auto content = json::parse(answer.body, nullptr, false);
        return content.is_object() ? content.value("state", "") : "";
    }

    bool reaches(const std::vector<std::string>& ids, const std::string& wanted,
                 const std::string& account = "addis") const
    {
        return wait_until(
            [&]
            {
                for (const auto& id : ids)
                {
                    if (state(id, account) != wanted)
                    {
                        return false;
                    }
                }
                return true;
            },
            std::chrono::seconds(60));
    }

    // Returns a worker's history. A call may get no answer in time on a busy
    // machine; the history only grows, so a later answer holds as much.
    json history_of(const std::string& worker) const
    {
        json history;
        const bool answered = wait_until(
            [&]
            {
                const auto answer =
                    get(system.stand_in_address(worker), "/history");
                history = json::parse(answer.body, nullptr, false);
                return answer.status == 200 && history.contains("events");
            });
        EXPECT_TRUE(answered) << worker << " does not answer";
        return answered ? history : json{{"events", json::array()}};
    }

    // Collects what every worker ran. `killed` gives the time at which a
    // worker that no longer answers was killed; it ran nothing afterwards.
    std::vector<member_interval> intervals() const
    {
        std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>,
                 member_interval>
            found;
        for (const auto& worker : workers)
        {
            const auto history = history_of(worker);
            for (const auto& event : history["events"])
            {
                const auto key =
                    std::make_tuple(event["job"].get<std::string>(),
                                    event["attempt"].get<std::uint32_t>(),
                                    event["member"].get<std::uint32_t>());
                auto& interval = found[key];
                std::tie(interval.job, interval.attempt, interval.member) = key;
                const auto time = event["time_ms"].get<std::int64_t>();
                if (event["event"] == "started")
                {
                    interval.worker = worker;
                    interval.started_ms = time;
                    continue;
                }
                interval.ended_ms = time;
                interval.done = event["event"] == "done";
            }
        }
        std::vector<member_interval> result;
        result.reserve(found.size());
        for (const auto& [key, interval] : found)
        {
            result.push_back(interval);
        }
        return result;
    }

    std::string checked() const
    {
        return check_gang(intervals(), gang_members, partial_gang_bound_ms);
    }

    const std::string folder;
    deployment system;
    std::vector<std::string> workers;
};

using invariant = job_process;

// Guards against a part of a gang that runs on when a worker freezes, and
// against a second copy of a gang beside the first.
TEST_F(invariant, gang_atomic_worker_freezes)
{
    prepare(6, sample_document());
    const std::vector<std::string> jobs = {submit("a1", "addis"),
                                           submit("a2", "addis")};
    ASSERT_TRUE(reaches(jobs, "running"));
    std::set<std::string> used;
    for (const auto& interval : intervals())
    {
        used.insert(interval.worker);
    }
    ASSERT_FALSE(used.empty());
    const auto frozen = *used.begin();
    system.stand_in(frozen).signal(SIGSTOP);
    EXPECT_TRUE(reaches(jobs, "done"));
    system.stand_in(frozen).signal(SIGCONT);
    EXPECT_EQ(checked(), "");
}

// Guards against gangs that are lost, doubled or left in parts when the owner
// of the journal is killed while they start and while they run.
TEST_F(invariant, gang_atomic_owner_dies)
{
    prepare(6, sample_document());
    std::vector<std::string> jobs = {submit("a1", "addis")};
    ASSERT_TRUE(reaches(jobs, "running"));
    jobs.push_back(submit("a1", "addis"));
    system.kill("a1");
    ASSERT_TRUE(wait_until(
        [&]
        {
            return post(system.callers("a2"), "/v1/request-ids", "").status ==
                   200;
        }));
    jobs.push_back(submit("a2", "addis"));
    system.restart("a1");
    EXPECT_TRUE(reaches(jobs, "done"));
    EXPECT_EQ(checked(), "");
}

// Guards against a data centre that stops its work when it is cut off, and
// against parts of gangs after the pair of the journal is split too.
TEST_F(invariant, gang_atomic_data_centre_cut_off)
{
    prepare(6, sample_document());
    system.set_data_centre("north", link_state::black_hole);
    const std::vector<std::string> jobs = {submit("a1", "addis"),
                                           submit("a2", "addis")};
    ASSERT_TRUE(reaches(jobs, "running"));
    system.set_link("a1", "a2", link_state::black_hole);
    system.set_link("a2", "a1", link_state::black_hole);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    system.set_link("a1", "a2", link_state::open);
    system.set_link("a2", "a1", link_state::open);
    EXPECT_TRUE(reaches(jobs, "done"));
    system.set_data_centre("north", link_state::open);
    EXPECT_EQ(checked(), "");
}

std::string document_with_borrower()
{
    return sample_document() + "  - name: sitnis\n"
                               "    weight: 1\n"
                               "    services:\n"
                               "      - name: appraisal\n"
                               "        idempotent: false\n"
                               "        timeout: 5s\n"
                               "        max_attempts: 1\n";
}

// Guards against a guarantee that can not be reclaimed while other work holds
// every accelerator, also after the owner that placed that work has died.
TEST_F(invariant, reclaim_guarantee_from_borrowing_work)
{
    prepare(6, document_with_borrower());
    std::vector<std::string> borrowing;
    borrowing.reserve(6);
    for (int i = 0; i < 6; ++i)
    {
        borrowing.push_back(submit(
            "a1", "sitnis", {{"members", 1}, {"command", "run_ms=600000"}}));
    }
    ASSERT_TRUE(reaches(borrowing, "running", "sitnis"));
    system.kill("a1");
    ASSERT_TRUE(wait_until(
        [&]
        {
            return post(system.callers("a2"), "/v1/request-ids", "").status ==
                   200;
        }));
    system.restart("a1");
    const auto job = submit("a2", "addis", {{"urgency", "urgent"}});
    EXPECT_TRUE(reaches({job}, "done"));
    // Only as much was stopped as the shape needs: two workers of one rack.
    int running = 0;
    for (const auto& id : borrowing)
    {
        running += state(id, "sitnis") == "running" ? 1 : 0;
    }
    EXPECT_GE(running, 4);
}

} // namespace
} // namespace limpetstack::test

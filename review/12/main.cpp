// Work that fills runs on each runner, on a thirty-second of its cores. Then a
// job that serves users is accepted in a queue of higher priority. Exits with 1
// when none of its subtasks begins. With TROUBLE=0 one runner has no such work.
#include "../stand-ins-3/stage.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

namespace
{

using nlohmann::json;

constexpr std::size_t worker_count = 8;
// finish_s (14 s) after the end of the traffic, the 3 s of the rule, and more.
constexpr std::int64_t limit_ms = 25000;
const std::string filling = "/batch/00000000000000f1";
const std::string serving = "/desk/00000000000000a1";

const json worker_settings{
    {"capacity", {{"cpu", 32000}, {"mem_mb", 131072}, {"gpu", 8}}},
    {"labels", {"a", "r1"}},
    {"run_ms", 1000},
    {"heartbeat_ms", 1500},
    {"stop_ms", 400},
    {"max_hold_ms", 6000}};

// A config with the queues /desk/ (priority 0) and /batch/ (priority 2).
json two_queues()
{
    auto config = review::stage::config(1);
    auto route = config["routes"][0];
    config["routes"][0]["priority"] = 0;
    route["name"] = "r-batch";
    route["prefix"] = "/batch/";
    route["priority"] = 2;
    config["routes"].push_back(route);
    return config;
}

json filling_job(std::size_t count)
{
    return {{"spec", "300000"},
            {"steps",
             {{{"count", count},
               {"cpu", 1000},
               {"mem_mb", 1024},
               {"estimate_ms", 300000},
               {"max_per_server", 1},
               {"image", "batch"},
               {"fills", true}}}}};
}

json serving_job()
{
    return {{"spec", "3600000"},
            {"steps",
             {{{"count", 1},
               {"cpu", 4000},
               {"mem_mb", 1024},
               {"estimate_ms", 60000},
               {"service_mode", true},
               {"image", "desk"},
               {"tail_latency_ms", 200}}}}};
}

class fill_case
{
public:
    fill_case(review::stage& stage, review::record& record, bool trouble)
        : stage_(stage)
        , record_(record)
        , trouble_(trouble)
    {
    }

    int run();

private:
    std::size_t starts_of(const std::string& job);

    review::stage& stage_;
    review::record& record_;
    const bool trouble_;
    std::size_t offset_ = 0;
    std::size_t fill_starts_ = 0;
    std::size_t serve_starts_ = 0;
};

std::size_t fill_case::starts_of(const std::string& job)
{
    for (const auto& line : record_.read(offset_))
    {
        if (line.value("what", "") == "begins")
        {
            const auto task = line.value("task", "");
            fill_starts_ += task.rfind("00000000000000f1", 0) == 0 ? 1 : 0;
            serve_starts_ += task.rfind("00000000000000a1", 0) == 0 ? 1 : 0;
        }
    }
    return job == filling ? fill_starts_ : serve_starts_;
}

int fill_case::run()
{
    if (!stage_.start_nodes() || !stage_.put_config(two_queues()))
    {
        return 2;
    }
    for (std::size_t i = 0; i < worker_count; ++i)
    {
        stage_.start_worker("worker" + std::to_string(i), worker_settings);
    }
    review::sleep_ms(6000);
    const auto fillers = trouble_ ? worker_count : worker_count - 1;
    if (stage_.client(0, "POST", filling, filling_job(fillers).dump()).status !=
            200 ||
        !review::wait_until(5000,
                            [&]
                            {
                                return starts_of(filling) == fillers;
                            }) ||
        stage_.client(0, "POST", serving, serving_job().dump()).status != 200)
    {
        return 2;
    }
    const auto accepted = review::steady_ms();
    const bool begun = review::wait_until(limit_ms,
                                          [&]
                                          {
                                              return starts_of(serving) > 0;
                                          });
    const auto waited = review::steady_ms() - accepted;
    const auto state = stage_.job_state(1, serving);
    record_.write("verdict", {{"begun", begun},
                              {"waited_ms", waited},
                              {"state", state},
                              {"broken", !begun}});
    std::cout << (begun ? "begun" : "not begun") << " after " << waited
              << " ms, shown as " << state << '\n';
    return begun ? 0 : 1;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 3)
    {
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    const std::string folder = arguments[2];
    review::record record(folder + "/record.txt", "driver");
    review::stage stage(arguments[1], folder, record, 4, 3);
    return fill_case(stage, record,
                     trouble == nullptr || std::string(trouble) != "0")
        .run();
}

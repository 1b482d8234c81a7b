// A job that can never be done, with many subtasks, is accepted beside small
// jobs of another tenant on a nearly empty service. The small jobs have to go
// on, and their state has to be readable.
#include "../stage/stage.hpp"

#include <cstdio>
#include <cstdlib>
#include <set>
#include <string>

namespace
{

using namespace limpetstack;
using namespace limpetstack::review;
using nlohmann::json;

constexpr int runner_count = 8;
constexpr std::int64_t accelerators = 8;
constexpr milliseconds finish_time{14000}; // finish_s
constexpr int early_jobs = 10;
constexpr int late_jobs = 20;
constexpr char large_job[] = "00000000000000a3";

std::string small_job(int number)
{
    const auto text = std::to_string(number);
    return "c" + std::string(15 - text.size(), '0') + text;
}

json small_work(const char* work)
{
    return {{"spec", work},
            {"steps",
             {{{"count", 2},
               {"cpu", 1000},
               {"mem_mb", 1000},
               {"gpu", 1},
               {"estimate_ms", 2500}}}}};
}

// Gangs of more subtasks than the fleet has room for: this job can never be
// done. Its body has about 4 kB.
json large_work(int steps)
{
    const json step{{"count", 20000}, {"cpu", 2800},  {"mem_mb", 11000},
                    {"gpu", 1},       {"gang", true}, {"estimate_ms", 1000}};
    json all = json::array();
    for (int i = 0; i < steps; ++i)
    {
        all.push_back(step);
    }
    return {{"spec", "work_ms=1000"}, {"steps", all}};
}

std::size_t begun_small_jobs(const stage& all)
{
    std::set<std::string> jobs;
    for (const auto& item : all.events())
    {
        if (item.what == "start" && item.words.at(0)[0] == 'c')
        {
            jobs.insert(item.words[0].substr(0, 16));
        }
    }
    return jobs.size();
}

int play(stage& all)
{
    const char* const steps = std::getenv("STEPS");
    for (int i = 0; i < runner_count; ++i)
    {
        all.add_runner("i-" + std::to_string(i), "r1-" + std::to_string(i / 2),
                       accelerators);
    }
    all.start();
    const json large{{"name", "large"}, {"keys", {"key-of-large"}}};
    const json small{{"name", "small"}, {"keys", {"key-of-small"}}};
    if (!all.put_config(config({route("match", 2, 2), route("check", 1, 3)},
                               {large, small})))
    {
        return could_not_run;
    }
    all.run_for(milliseconds(3000));
    int sent = 0;
    for (int i = 0; i < early_jobs; ++i)
    {
        all.submit(prefix_of("check"), "key-of-small", small_job(++sent),
                   small_work("work_ms=8000"));
        all.run_for(milliseconds(200));
    }
    if (has_trouble())
    {
        all.submit(prefix_of("match"), "key-of-large", large_job,
                   large_work(steps == nullptr ? 50 : std::atoi(steps)));
        if (!all.run_until(
                [&]
                {
                    return all.accepted(prefix_of("match"), large_job) > 0;
                },
                milliseconds(3000)))
        {
            std::printf("the large job was not accepted: could not run\n");
            return could_not_run;
        }
    }
    for (int i = 0; i < late_jobs; ++i)
    {
        all.submit(prefix_of("check"), "key-of-small", small_job(++sent),
                   small_work("work_ms=2500"));
        all.run_for(milliseconds(500));
    }
    all.stop_submitting();
    all.run_for(finish_time);
    // Each accepted job is asked for three times, with the client's time limit.
    int accepted = 0;
    int complete = 0;
    int without_answer = 0;
    constexpr int attempts = 3;
    for (int attempt = 0; attempt < attempts; ++attempt)
    {
        for (int i = 1; i <= sent; ++i)
        {
            if (all.accepted(prefix_of("check"), small_job(i)) > 0 &&
                all.state_of(prefix_of("check"), small_job(i)) != "complete")
            {
                all.ask(prefix_of("check"), "key-of-small", small_job(i));
            }
        }
        all.run_for(milliseconds(4000));
    }
    for (int i = 1; i <= sent; ++i)
    {
        const auto state = all.state_of(prefix_of("check"), small_job(i));
        if (all.accepted(prefix_of("check"), small_job(i)) > 0)
        {
            ++accepted;
            complete += state == "complete" ? 1 : 0;
            without_answer += state.rfind("status", 0) == 0 ? 1 : 0;
        }
    }
    std::printf("small jobs: %d sent, %d accepted, %zu begun; of the accepted "
                "ones %d shown as complete, %d without an answer\n",
                sent, accepted, begun_small_jobs(all), complete,
                without_answer);
    const bool broken = without_answer > 0;
    std::printf("LOST %s\n", broken ? "broken" : "held");
    return broken ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}

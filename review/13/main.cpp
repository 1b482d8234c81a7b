// A runner goes down and up by turns while its machine's time of day is two
// seconds ahead, so that its last life has an earlier start time than the one
// before. Exits with 1 when a subtask that lasts, which only this runner can
// run, has nothing running long after that.
#include "../stand-ins-3/stage.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

namespace
{

using nlohmann::json;

constexpr std::size_t worker_count = 9;
constexpr std::int64_t clock_step_ms = 2000;
constexpr std::int64_t flap_gap_ms = 820;
// The rule: nothing has run for 6 s, and the moment and the 7 s before it are
// calm for 3 s. This is well beyond.
constexpr std::int64_t limit_ms = 20000;
constexpr std::int64_t patience_ms = 75000;
const std::string only_worker = "worker0";
const std::string path = "/desk/5c0e7a21d94b36f8";

json settings_of(const std::string& label, std::int64_t clock_ahead_ms)
{
    return {{"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 8}}},
            {"labels", {label, "r1"}},
            {"born_offset_ms", clock_ahead_ms},
            {"run_ms", 1000},
            {"heartbeat_ms", 1500},
            {"stop_ms", 400},
            {"max_hold_ms", 6000}};
}

class clock_case
{
public:
    clock_case(review::stage& stage, review::record& record, bool flaps,
               bool clock)
        : stage_(stage)
        , record_(record)
        , flaps_(flaps)
        , clock_(clock)
    {
    }

    int run();

private:
    std::int64_t last_start();
    void disturb();

    review::stage& stage_;
    review::record& record_;
    const bool flaps_;
    const bool clock_;
    std::size_t offset_ = 0;
    std::int64_t last_start_ms_ = 0;
};

// Returns when the subtask was begun last.
std::int64_t clock_case::last_start()
{
    for (const auto& line : record_.read(offset_))
    {
        if (line.value("what", "") == "begins")
        {
            last_start_ms_ = line.at("at_ms").get<std::int64_t>();
        }
    }
    return last_start_ms_;
}

// The machine's clock is ahead for 5 s, and the runner flaps at the end of
// that: down, up (with the clock ahead), down, up (with the clock set back).
void clock_case::disturb()
{
    const auto ahead = clock_ ? clock_step_ms : 0;
    record_.write("the machine's time of day jumps", {{"by_ms", ahead}});
    review::sleep_ms(3300);
    stage_.kill_worker(only_worker);
    review::sleep_ms(flap_gap_ms);
    stage_.start_worker(only_worker, settings_of("big", ahead));
    review::sleep_ms(flap_gap_ms);
    stage_.kill_worker(only_worker);
    record_.write("the machine's time of day jumps", {{"by_ms", -ahead}});
    review::sleep_ms(flap_gap_ms);
    stage_.start_worker(only_worker, settings_of("big", 0));
}

int clock_case::run()
{
    if (!stage_.start_nodes() || !stage_.put_config(review::stage::config(1)))
    {
        return 2;
    }
    stage_.start_worker(only_worker, settings_of("big", 0));
    for (std::size_t i = 1; i < worker_count; ++i)
    {
        stage_.start_worker("worker" + std::to_string(i), settings_of("a", 0));
    }
    review::sleep_ms(6000);
    const json job{{"spec", "3600000"},
                   {"steps",
                    {{{"count", 1},
                      {"cpu", 1000},
                      {"mem_mb", 512},
                      {"estimate_ms", 2000},
                      {"requires", "big"},
                      {"service_mode", true}}}}};
    if (stage_.client(0, "POST", path, job.dump()).status != 200 ||
        !review::wait_until(5000,
                            [&]
                            {
                                return last_start() > 0;
                            }))
    {
        return 2;
    }
    const auto before = review::steady_ms();
    if (flaps_)
    {
        disturb();
    }
    const auto calm_since = review::steady_ms();
    const auto restarted = [&]
    {
        return !flaps_ || last_start() >= calm_since;
    };
    const bool in_time = review::wait_until(limit_ms, restarted);
    stage_.job_state(1, path);
    const bool later =
        in_time || review::wait_until(patience_ms - limit_ms, restarted);
    const auto after = last_start() - calm_since;
    record_.write("verdict", {{"restarted in time", in_time},
                              {"restarted at all", later},
                              {"ms after the last event", after},
                              {"broken", !in_time}});
    std::cout << "disruptions took " << calm_since - before
              << " ms; next start: "
              << (later ? std::to_string(after) + " ms after them" : "none")
              << '\n';
    return in_time ? 0 : 1;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 3)
    {
        return 2;
    }
    const char* trouble = std::getenv("TROUBLE");
    const char* clock = std::getenv("CLOCK");
    const std::string folder = arguments[2];
    review::record record(folder + "/record.txt", "driver");
    review::stage stage(arguments[1], folder, record, 4, 3);
    return clock_case(stage, record,
                      trouble == nullptr || std::string(trouble) != "0",
                      clock == nullptr || std::string(clock) != "0")
        .run();
}

// A queue has a policy whose tickets are valid for 300 ms. Exits with 1 when an
// accepted job of that queue doesn't begin though each runner may run it. With
// TROUBLE=0 the tickets are valid for 3 s.
#include "../stand-ins-3/stage.hpp"

#include <httplib.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace
{

using nlohmann::json;

constexpr std::size_t worker_count = 8;
// finish_s (14 s) after the end of the traffic, the 3 s of the rule, and more.
constexpr std::int64_t limit_ms = 25000;
constexpr std::int64_t decision_ms = 20;
constexpr std::int64_t period_ms = 2;
constexpr std::int64_t short_validity_ms = 300;
constexpr std::int64_t long_validity_ms = 3000;
constexpr int policy_port = 8524;
const std::string path = "/desk/00000000000000a1";

const json worker_settings{
    {"capacity", {{"cpu", 32000}, {"mem_mb", 131072}, {"gpu", 8}}},
    {"labels", {"a", "r1"}},
    {"tickets", true},
    {"run_ms", 1000},
    {"heartbeat_ms", 1500},
    {"stop_ms", 400},
    {"max_hold_ms", 6000}};

// The service at `advice`: it allows all workers, after the time that the
// config names.
class policy_service
{
public:
    policy_service(std::string ip, std::int64_t valid_ms,
                   review::record& record)
        : ip_(std::move(ip))
        , valid_ms_(valid_ms)
        , record_(record)
    {
        server_.Post(
            "/-/advise",
            [this](const httplib::Request& request, httplib::Response& response)
            {
                response.set_content(answer(request.body).dump(),
                                     "application/json");
            });
        thread_ = std::thread(
            [this]
            {
                server_.listen(ip_.c_str(), policy_port);
            });
    }

    ~policy_service()
    {
        server_.stop();
        thread_.join();
    }

    policy_service(const policy_service&) = delete;
    policy_service& operator=(const policy_service&) = delete;

private:
    json answer(const std::string& body)
    {
        const auto question = json::parse(body, nullptr, false);
        const auto& workers = question.at("workers");
        review::sleep_ms(decision_ms +
                         period_ms * static_cast<int>(workers.size()));
        // A ticket names its expiry and its worker, which checks both.
        const auto expiry = std::to_string(review::steady_ms() + valid_ms_);
        json allowed = json::array();
        for (const auto& worker : workers)
        {
            allowed.push_back(
                {worker, expiry + "-" + worker.get<std::string>()});
        }
        record_.write("advice", {{"step", question.at("step")},
                                 {"allowed", allowed.size()}});
        return {{"allowed", allowed}, {"valid_ms", valid_ms_}};
    }

    const std::string ip_;
    const std::int64_t valid_ms_;
    review::record& record_;
    httplib::Server server_;
    std::thread thread_;
};

int run(review::stage& stage, review::record& record, std::int64_t valid_ms)
{
    auto config = review::stage::config(1);
    config["routes"][0]["advice"] = {{"decision_ms", decision_ms},
                                     {"period_ms", period_ms},
                                     {"valid_ms", valid_ms}};
    if (!stage.start_nodes() || !stage.put_config(config))
    {
        return 2;
    }
    for (std::size_t i = 0; i < worker_count; ++i)
    {
        stage.start_worker("worker" + std::to_string(i), worker_settings);
    }
    review::sleep_ms(6000);
    const json job{{"spec", "1000"},
                   {"steps",
                    {{{"count", 2},
                      {"cpu", 4000},
                      {"mem_mb", 1024},
                      {"estimate_ms", 1000}}}}};
    if (stage.client(0, "POST", path, job.dump()).status != 200)
    {
        return 2;
    }
    std::string state;
    const bool complete = review::wait_until(limit_ms,
                                             [&]
                                             {
                                                 review::sleep_ms(500);
                                                 state =
                                                     stage.job_state(1, path);
                                                 return state == "complete";
                                             });
    std::size_t offset = 0;
    std::size_t starts = 0;
    std::size_t questions = 0;
    for (const auto& line : record.read(offset))
    {
        starts += line.value("what", "") == "begins" ? 1 : 0;
        questions += line.value("what", "") == "advice" ? 1 : 0;
    }
    record.write("verdict", {{"state", state},
                             {"starts", starts},
                             {"calls for advice", questions},
                             {"broken", starts == 0}});
    std::cout << "shown as " << state << ", starts: " << starts
              << ", calls for advice: " << questions << '\n';
    if (starts == 0)
    {
        return 1;
    }
    return complete ? 0 : 2;
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
    stage.set_advice(stage.advice_ip() + ":" + std::to_string(policy_port));
    const auto valid_ms = trouble == nullptr || std::string(trouble) != "0"
                              ? short_validity_ms
                              : long_validity_ms;
    const policy_service policy(stage.advice_ip(), valid_ms, record);
    return run(stage, record, valid_ms);
}

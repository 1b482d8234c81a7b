// Two clients of different tenants and queues choose the same job id. Exits
// with 1 when the second job is accepted and shown as `complete` though none of
// its subtasks was begun, or when one client's cancel ends the other's job.
// With TROUBLE=0 the ids differ.
#include "../stand-ins-3/stage.hpp"

#include <cstdlib>
#include <iostream>
#include <set>
#include <string>

namespace
{

using nlohmann::json;

constexpr std::size_t worker_count = 8;

const json worker_settings{
    {"capacity", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 8}}},
    {"labels", {"a", "r1"}},
    {"run_ms", 2000},
    {"heartbeat_ms", 1500},
    {"stop_ms", 400},
    {"max_hold_ms", 6000}};

json job_of(const std::string& spec)
{
    return {{"spec", spec},
            {"steps",
             {{{"count", 1},
               {"cpu", 1000},
               {"mem_mb", 512},
               {"estimate_ms", std::stoi(spec)}}}}};
}

// A config with the queues /desk/ of tenant `one` and /till/ of tenant `two`.
json two_tenants()
{
    auto config = review::stage::config(1);
    auto route = config["routes"][0];
    route["name"] = "r-till";
    route["prefix"] = "/till/";
    config["routes"].push_back(route);
    auto tenant = config["tenants"][0];
    tenant["name"] = "two";
    tenant["keys"] = {"key-two"};
    config["tenants"].push_back(tenant);
    return config;
}

class id_case
{
public:
    id_case(review::stage& stage, review::record& record, bool trouble)
        : stage_(stage)
        , record_(record)
        , trouble_(trouble)
    {
    }

    int run();

private:
    std::string second_id(const std::string& id) const;
    std::string state(const std::string& path, const std::string& key);
    bool accepted(const std::string& path, const std::string& key,
                  const std::string& spec);
    bool has_begun(const std::string& spec);

    review::stage& stage_;
    review::record& record_;
    const bool trouble_;
    std::size_t offset_ = 0;
    std::set<std::string> begun_specs_;
};

std::string id_case::second_id(const std::string& id) const
{
    return trouble_ ? id : "f" + id.substr(1);
}

std::string id_case::state(const std::string& path, const std::string& key)
{
    const auto reply = stage_.client(1, "GET", path, "", key);
    const auto body = json::parse(reply.body, nullptr, false);
    return body.is_object() ? body.value("state", "") : "";
}

bool id_case::accepted(const std::string& path, const std::string& key,
                       const std::string& spec)
{
    return stage_.client(0, "POST", path, job_of(spec).dump(), key).status ==
           200;
}

bool id_case::has_begun(const std::string& spec)
{
    for (const auto& line : record_.read(offset_))
    {
        if (line.value("what", "") == "begins")
        {
            begun_specs_.insert(line.value("spec", ""));
        }
    }
    return begun_specs_.count(spec) > 0;
}

int id_case::run()
{
    if (!stage_.start_nodes() || !stage_.put_config(two_tenants()))
    {
        return 2;
    }
    for (std::size_t i = 0; i < worker_count; ++i)
    {
        stage_.start_worker("worker" + std::to_string(i), worker_settings);
    }
    review::sleep_ms(6000);

    const std::string id = "0000000000000001";
    if (!accepted("/desk/" + id, "key-one", "4000"))
    {
        return 2;
    }
    const auto other = "/till/" + second_id(id);
    const bool second_accepted = accepted(other, "key-two", "1500");
    std::string shown;
    review::wait_until(15000,
                       [&]
                       {
                           review::sleep_ms(500);
                           shown = state(other, "key-two");
                           return shown == "complete" || shown.empty();
                       });
    const bool never_ran =
        second_accepted && shown == "complete" && !has_begun("1500");

    const std::string long_id = "0000000000000002";
    if (!accepted("/desk/" + long_id, "key-one", "20000"))
    {
        return 2;
    }
    accepted("/till/" + second_id(long_id), "key-two", "1600");
    review::sleep_ms(300);
    stage_.client(2, "DELETE", "/till/" + second_id(long_id), "", "key-two");
    review::sleep_ms(2000);
    const auto first = state("/desk/" + long_id, "key-one");
    const bool cancelled = first == "cancelled";

    record_.write("verdict",
                  {{"second job complete without a start", never_ran},
                   {"first client's job", first},
                   {"broken", never_ran || cancelled}});
    std::cout << "second job shown as " << shown
              << ", begun: " << (has_begun("1500") ? "yes" : "no")
              << "; first client's job after the other's cancel: " << first
              << '\n';
    if (never_ran || cancelled)
    {
        return 1;
    }
    // A system may also refuse the second job: it is then not accepted.
    return first == "running" && (!second_accepted || has_begun("1500")) ? 0
                                                                         : 2;
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
    return id_case(stage, record,
                   trouble == nullptr || std::string(trouble) != "0")
        .run();
}

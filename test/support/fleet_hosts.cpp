#include "support/fleet_hosts.hpp"

#include "experiment/deployment.hpp"
#include "support/client_crowd.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <vector>

namespace limpetstack::test
{
namespace
{

using nlohmann::json;

// Metrics always listen on one port, so each test needs addresses of its own.
// The reserved number makes them unique on this machine.
std::string make_network()
{
    const int number = free_port();
    return "127." + std::to_string(number / 256) + "." +
           std::to_string(number % 256) + ".";
}

json route(const std::string& name, const std::string& prefix, bool is_public)
{
    return {{"name", name},   {"host", "localhost"}, {"prefix", prefix},
            {"service", "s"}, {"timeout_ms", 3000},  {"priority", 1},
            {"stretch", 3.0}, {"public", is_public}};
}

} // namespace

fleet_hosts::fleet_hosts(const std::string& name)
    : folder_(test_folder(name))
    , network_(make_network())
    , peer_port_(free_port())
    , control_(network_ + "1:" + std::to_string(free_port()))
    , callers_(network_ + "2:" + std::to_string(free_port()))
    , ready_(network_ + "2:" + std::to_string(free_port()))
{
}

fleet_hosts::~fleet_hosts()
{
    core_.reset();
    entry_.reset();
    if (!testing::Test::HasFailure())
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

bool fleet_hosts::start(const host_limits& limits, std::size_t padding)
{
    limits_ = limits;
    core_ = start_core();
    entry_ = start_host("entry", network_ + "2",
                        {{"front", callers_}, {"ready", ready_}});
    const auto text = document(1, padding);
    return wait_until(
               [&]
               {
                   return put_document(text) == 200;
               }) &&
           wait_until(
               [&]
               {
                   return submit_job() == 200;
               });
}

void fleet_hosts::restart_core()
{
    core_->kill();
    core_ = start_core();
}

std::string fleet_hosts::core_peers() const
{
    return network_ + "1:" + std::to_string(peer_port_);
}

// The core process replaces files meanwhile.
std::size_t fleet_hosts::disk_bytes() const
{
    std::size_t total = 0;
    std::error_code error;
    for (const auto& file :
         std::filesystem::directory_iterator(folder_ + "/data", error))
    {
        const auto size = std::filesystem::file_size(file.path(), error);
        total += error ? 0 : size;
    }
    return total;
}

std::string fleet_hosts::document(int version, std::size_t padding)
{
    return json{
        {"version", version},
        {"padding", std::string(padding, 'x')},
        {"routes", {route("q", "/q/", false), route("open", "/open/", true)}},
        {"services", {{{"name", "s"}}}},
        {"tenants",
         {{{"name", "flooding"}, {"keys", {"flooding"}}},
          {{"name", "ordinary"}, {"keys", {"ordinary"}}}}}}
        .dump();
}

int fleet_hosts::put_document(const std::string& text) const
{
    return call_status(control_, "PUT /-/config HTTP/1.1\r\nHost: h\r\n"
                                 "Content-Length: " +
                                     std::to_string(text.size()) + "\r\n\r\n" +
                                     text);
}

int fleet_hosts::submit_job(const std::string& key)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016x", ++last_job_);
    return call_status(callers_, request("POST", std::string("/q/") + id, key,
                                         R"({"spec":"x","steps":[{"count":1,)"
                                         R"("cpu":1000}]})"));
}

std::string fleet_hosts::request(const std::string& method,
                                 const std::string& target,
                                 const std::string& key,
                                 const std::string& body)
{
    return method + " " + target +
           " HTTP/1.1\r\nHost: localhost\r\n"
           "Authorization: Bearer " +
           key + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::unique_ptr<process> fleet_hosts::start_core()
{
    return start_host("core", network_ + "1", {{"control", control_}});
}

std::unique_ptr<process> fleet_hosts::start_host(const std::string& name,
                                                 const std::string& ip,
                                                 const json& listen)
{
    const bool core = name == "core";
    const json settings{{"node_name", name},
                        {"ip", ip},
                        {"zone", "z"},
                        {"listen", listen},
                        {"port_range", {peer_port_, peer_port_}},
                        {"seeds", {control_}},
                        {"bootstrap", true},
                        {"data_dir", core ? folder_ + "/data" : ""},
                        {"fault_tolerance", {{"machines", 0}}},
                        {"limits",
                         {{"memory_mb", limits_.memory_mb},
                          {"max_fds", limits_.max_descriptors},
                          {"disk_mb", core ? limits_.disk_mb : 0}}}};
    const auto file = folder_ + "/" + name + ".json";
    std::ofstream(file) << settings.dump();
    ::setenv("LIMPETSTACK_NODE_FILE", file.c_str(), 1);
    return std::make_unique<process>(program_folder() + "/limpetstack-fleetd",
                                     std::vector<std::string>{},
                                     folder_ + "/" + name + ".log");
}

} // namespace limpetstack::test

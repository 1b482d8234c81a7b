// The policy service of the platform: it allows all workers that it is asked
// about. Arguments: IP, port, decision_ms, period_ms, record.
#include "stage.hpp"

#include <httplib.h>

#include <cstdlib>
#include <mutex>

int main(int argc, char** argv)
{
    using nlohmann::json;
    const std::vector<std::string> arguments(argv, argv + argc);
    if (arguments.size() < 6)
    {
        return 2;
    }
    const review::recorder record(arguments[5], "policy");
    const int decision_ms = std::atoi(arguments[3].c_str());
    const int period_ms = std::atoi(arguments[4].c_str());
    std::mutex turn;
    httplib::Server server;
    server.set_keep_alive_max_count(1000000);
    server.set_keep_alive_timeout(60);
    server.Post(
        "/-/advise",
        [&](const httplib::Request& request, httplib::Response& response)
        {
            const std::lock_guard lock(turn);
            const auto question = json::parse(request.body, nullptr, false);
            const auto step = question.at("step").get<std::string>();
            auto allowed = json::array();
            for (const auto& worker : question.at("workers"))
            {
                const auto id = worker.get<std::string>();
                allowed.push_back({id, review::ticket_of(step, id)});
            }
            review::sleep_for(review::milliseconds(
                decision_ms + period_ms * static_cast<int>(allowed.size())));
            record.write("advises on " + step + ", " +
                         std::to_string(allowed.size()) + " runners");
            response.set_content(json{{"allowed", allowed}}.dump(),
                                 "application/json");
        });
    server.listen(arguments[1].c_str(), std::atoi(arguments[2].c_str()));
    return 0;
}

#pragma once

#include "ctl/operator_transport.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace limpetstack
{

/// Transport that gives prepared replies and records the calls. A server
/// without a prepared reply can not be reached.
class fake_operator_transport : public operator_transport
{
public:
    operator_reply get(const std::string& server,
                       const std::string& path) override
    {
        return call(server, "GET " + path);
    }

    operator_reply post(const std::string& server, const std::string& path,
                        const std::string& body) override
    {
        bodies.push_back(body);
        return call(server, "POST " + path);
    }

    operator_reply put(const std::string& server,
                       const std::string& path) override
    {
        return call(server, "PUT " + path);
    }

    operator_reply remove(const std::string& server,
                          const std::string& path) override
    {
        return call(server, "DELETE " + path);
    }

    std::map<std::string, std::deque<operator_reply>> replies;
    std::vector<std::string> calls; // `SERVER METHOD PATH`.
    std::vector<std::string> bodies;

private:
    operator_reply call(const std::string& server, const std::string& what)
    {
        calls.push_back(server + " " + what);
        auto& prepared = replies[server];
        if (prepared.empty())
        {
            return {0, "", true, "can not be reached"};
        }
        auto reply = prepared.front();
        prepared.pop_front();
        return reply;
    }
};

} // namespace limpetstack

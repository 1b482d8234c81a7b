#include "experiment/http.hpp"

#include <httplib.h>

namespace limpetstack::test
{
namespace
{

httplib::Client client_for(const std::string& address,
                           std::chrono::milliseconds timeout)
{
    httplib::Client client("http://" + address);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    return client;
}

http_answer to_answer(const httplib::Result& result)
{
    http_answer answer;
    if (!result)
    {
        return answer;
    }
    answer.status = result->status;
    answer.body = result->body;
    for (const auto& [name, value] : result->headers)
    {
        answer.headers[name] = value;
    }
    return answer;
}

} // namespace

http_answer get(const std::string& address, const std::string& path,
                std::chrono::milliseconds timeout)
{
    return to_answer(client_for(address, timeout).Get(path.c_str()));
}

http_answer remove(const std::string& address, const std::string& path,
                   std::chrono::milliseconds timeout)
{
    return to_answer(client_for(address, timeout).Delete(path.c_str()));
}

http_answer post(const std::string& address, const std::string& path,
                 const std::string& body, const http_headers& headers,
                 std::chrono::milliseconds timeout)
{
    httplib::Headers fields(headers.begin(), headers.end());
    std::string type = "application/json";
    const auto given = fields.find("Content-Type");
    if (given != fields.end())
    {
        type = given->second;
        fields.erase(given);
    }
    return to_answer(client_for(address, timeout)
                         .Post(path.c_str(), fields, body, type.c_str()));
}

} // namespace limpetstack::test

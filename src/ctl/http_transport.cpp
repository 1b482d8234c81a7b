#include "ctl/http_transport.hpp"

#include <httplib.h>

#include <chrono>
#include <string>

namespace limpetstack
{
namespace
{

constexpr std::chrono::seconds connection_timeout{2};
// A write waits for a majority of disks; the server answers "unknown" earlier.
constexpr std::chrono::seconds response_timeout{15};

httplib::Client connect(const std::string& server)
{
    const auto colon = server.rfind(':');
    auto host = server.substr(0, colon);
    if (host.size() > 2 && host.front() == '[')
    {
        host = host.substr(1, host.size() - 2);
    }
    httplib::Client client(host, std::stoi(server.substr(colon + 1)));
    client.set_connection_timeout(connection_timeout);
    client.set_read_timeout(response_timeout);
    client.set_write_timeout(response_timeout);
    return client;
}

operator_reply reply_of(const httplib::Result& result)
{
    operator_reply reply;
    if (result)
    {
        reply.status = result->status;
        reply.body = result->body;
        return reply;
    }
    const auto error = result.error();
    reply.not_sent = error == httplib::Error::Connection ||
                     error == httplib::Error::ConnectionTimeout ||
                     error == httplib::Error::BindIPAddress;
    reply.error = reply.not_sent ? "can not be reached"
                                 : "sent no whole response (" +
                                       httplib::to_string(error) + ")";
    return reply;
}

} // namespace

operator_reply http_transport::get(const std::string& server,
                                   const std::string& path)
{
    return reply_of(connect(server).Get(path));
}

operator_reply http_transport::post(const std::string& server,
                                    const std::string& path,
                                    const std::string& body)
{
    return reply_of(connect(server).Post(path, body, "application/json"));
}

operator_reply http_transport::put(const std::string& server,
                                   const std::string& path)
{
    return reply_of(connect(server).Put(path));
}

operator_reply http_transport::remove(const std::string& server,
                                      const std::string& path)
{
    return reply_of(connect(server).Delete(path));
}

} // namespace limpetstack

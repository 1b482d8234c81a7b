#pragma once

#include <string>

namespace limpetstack
{

/// The result of one HTTP call.
struct operator_reply
{
    /// HTTP status; 0 when there was no whole response.
    int status = 0;
    std::string body;
    /// Without a response: the server can not have seen the request.
    bool not_sent = false;
    std::string error; // Without a response: the reason.
};

/// HTTP calls to the operators' listener of a daemon.
class operator_transport
{
public:
    virtual ~operator_transport() = default;

    /// `server` is IP:port.
    virtual operator_reply get(const std::string& server,
                               const std::string& path) = 0;
    virtual operator_reply post(const std::string& server,
                                const std::string& path,
                                const std::string& body) = 0;
    /// Without a body.
    virtual operator_reply put(const std::string& server,
                               const std::string& path) = 0;
    virtual operator_reply remove(const std::string& server,
                                  const std::string& path) = 0;
};

} // namespace limpetstack

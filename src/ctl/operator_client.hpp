#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace limpetstack
{

class operator_transport;
struct operator_reply;

/// What became of a call.
enum class call_result
{
    answered,    // `status` and `body` are final.
    unavailable, // No server could carry it out; nothing was changed.
    unknown      // A write may or may not have been carried out.
};

/// The outcome of a call after all attempts.
struct operator_answer
{
    call_result result = call_result::unavailable;
    int status = 0;
    std::string body;
    std::string server;   // That gave the answer.
    std::string failures; // Of the attempts before, one line each.
};

/// Calls to a deployment through any of several servers.
class operator_client
{
public:
    using sleeper = std::function<void(std::chrono::milliseconds)>;

    /// `transport` must outlive this. `sleep` waits between rounds of a write.
    operator_client(operator_transport& transport,
                    std::vector<std::string> servers, sleeper sleep);

    /// Reads from the first server that answers with a status below 500.
    operator_answer read(const std::string& path);

    /// Writes through the first server that knows the outcome. Later attempts
    /// send the same body, whose request id lets the servers recognize a
    /// resend.
    operator_answer write(const std::string& path, const std::string& body);

    /// As `write`, by PUT or DELETE without a body; the path holds the request
    /// id.
    operator_answer put(const std::string& path);
    operator_answer remove(const std::string& path);

private:
    using attempt = std::function<operator_reply(const std::string& server)>;

    operator_answer write_with(const attempt& send);

    operator_transport& transport_;
    const std::vector<std::string> servers_;
    const sleeper sleep_;
};

} // namespace limpetstack

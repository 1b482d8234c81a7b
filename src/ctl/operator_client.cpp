#include "ctl/operator_client.hpp"
#include "ctl/operator_transport.hpp"

#include <utility>

namespace limpetstack
{
namespace
{

// A new leader is elected within about two election time-outs (1 s each), so
// that the last round of a write meets it.
constexpr int write_rounds = 4;
constexpr std::chrono::milliseconds pause_between_rounds{1000};

constexpr int first_server_error = 500;
constexpr int unavailable_status = 503;
constexpr int accepted_status = 200;
constexpr int conflict_status = 409;

void note(operator_answer& answer, const std::string& server,
          const operator_reply& reply)
{
    answer.failures +=
        server + ": " +
        (reply.status == 0 ? reply.error
                           : "answered " + std::to_string(reply.status)) +
        "\n";
}

void finish(operator_answer& answer, const std::string& server,
            operator_reply reply)
{
    answer.result = call_result::answered;
    answer.status = reply.status;
    answer.body = std::move(reply.body);
    answer.server = server;
}

} // namespace

operator_client::operator_client(operator_transport& transport,
                                 std::vector<std::string> servers,
                                 sleeper sleep)
    : transport_(transport)
    , servers_(std::move(servers))
    , sleep_(std::move(sleep))
{
}

operator_answer operator_client::read(const std::string& path)
{
    operator_answer answer;
    for (const auto& server : servers_)
    {
        auto reply = transport_.get(server, path);
        if (reply.status != 0 && reply.status < first_server_error)
        {
            finish(answer, server, std::move(reply));
            return answer;
        }
        note(answer, server, reply);
    }
    return answer;
}

operator_answer operator_client::write(const std::string& path,
                                       const std::string& body)
{
    return write_with(
        [&](const std::string& server)
        {
            return transport_.post(server, path, body);
        });
}

operator_answer operator_client::put(const std::string& path)
{
    return write_with(
        [&](const std::string& server)
        {
            return transport_.put(server, path);
        });
}

operator_answer operator_client::remove(const std::string& path)
{
    return write_with(
        [&](const std::string& server)
        {
            return transport_.remove(server, path);
        });
}

operator_answer operator_client::write_with(const attempt& send)
{
    operator_answer answer;
    bool maybe_done = false;
    for (int round = 0; round < write_rounds; ++round)
    {
        if (round > 0)
        {
            sleep_(pause_between_rounds);
        }
        for (const auto& server : servers_)
        {
            auto reply = send(server);
            // Once an attempt may have been carried out, only an answer that
            // comes from the control log is final; a refusal before the log
            // says nothing about that attempt.
            const bool from_log = reply.status == accepted_status ||
                                  reply.status == conflict_status;
            const bool refused =
                reply.status != 0 && reply.status < first_server_error;
            if (from_log || (refused && !maybe_done))
            {
                finish(answer, server, std::move(reply));
                return answer;
            }
            note(answer, server, reply);
            maybe_done = maybe_done || (!reply.not_sent &&
                                        reply.status != unavailable_status);
        }
    }
    answer.result =
        maybe_done ? call_result::unknown : call_result::unavailable;
    return answer;
}

} // namespace limpetstack

#include "transport/http_policy_port.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr unsigned status_ok = 200;

} // namespace

http_policy_port::http_policy_port(boost::asio::io_context& io,
                                   const external_protocol& protocol,
                                   const std::string& address)
    : protocol_(protocol)
    , channel_(io, address)
{
}

void http_policy_port::ask(const policy_question& question,
                           milliseconds timeout,
                           std::function<void(const answer&)> done)
{
    const auto call = protocol_.encode_question(question);
    channel_.send(
        call.method, call.target, call.headers, call.body, timeout,
        [this, job = question.job,
         done = std::move(done)](const http_channel_answer& received)
        {
            if (received.status != status_ok)
            {
                log_event(
                    log_level::warning, "policy_failed",
                    {{"job", job}, {"status", absl::StrCat(received.status)}});
                done(std::nullopt);
                return;
            }
            auto tickets = protocol_.decode_tickets(received.body);
            if (!tickets.ok())
            {
                log_event(
                    log_level::warning, "policy_answer_refused",
                    {{"job", job},
                     {"reason", std::string(tickets.status().message())}});
                done(std::nullopt);
                return;
            }
            done(std::move(*tickets));
        });
}

} // namespace limpetstack::fleet

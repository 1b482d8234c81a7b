#pragma once

#include "coordination/fleet/policy_port.hpp"
#include "transport/http_channel.hpp"

#include <boost/asio/io_context.hpp>

#include <string>

namespace limpetstack::fleet
{

/// Sends questions to the policy service over one HTTP connection. With an
/// empty address every question fails.
class http_policy_port : public policy_port
{
public:
    http_policy_port(boost::asio::io_context& io,
                     const external_protocol& protocol,
                     const std::string& address);

    void ask(const policy_question& question, milliseconds timeout,
             std::function<void(const answer&)> done) override;

private:
    const external_protocol& protocol_;
    http_channel channel_;
};

} // namespace limpetstack::fleet

#pragma once

#include "ctl/operator_transport.hpp"

namespace limpetstack
{

/// Transport over TCP.
class http_transport : public operator_transport
{
public:
    operator_reply get(const std::string& server,
                       const std::string& path) override;
    operator_reply post(const std::string& server, const std::string& path,
                        const std::string& body) override;
    operator_reply put(const std::string& server,
                       const std::string& path) override;
    operator_reply remove(const std::string& server,
                          const std::string& path) override;
};

} // namespace limpetstack

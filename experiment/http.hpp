#pragma once

#include <chrono>
#include <map>
#include <string>

namespace limpetstack::test
{

/// Answer of an HTTP call; status 0 means that no whole answer came.
struct http_answer
{
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
};

using http_headers = std::map<std::string, std::string>;

constexpr std::chrono::milliseconds default_http_timeout{2000};

/// Calls `address` (IP:port) on a connection of its own.
http_answer get(const std::string& address, const std::string& path,
                std::chrono::milliseconds timeout = default_http_timeout);
http_answer remove(const std::string& address, const std::string& path,
                   std::chrono::milliseconds timeout = default_http_timeout);
http_answer post(const std::string& address, const std::string& path,
                 const std::string& body, const http_headers& headers = {},
                 std::chrono::milliseconds timeout = default_http_timeout);

} // namespace limpetstack::test

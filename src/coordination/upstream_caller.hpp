#pragma once

#include "base/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetstack
{

/// One attempt of a request on one upstream.
struct upstream_attempt
{
    std::string address; // IP:port of the upstream.
    std::uint32_t connections = 1;
    std::string id;
    std::uint32_t attempt = 1;
    std::string account;
    std::string service;
    std::string content_type;
    std::string_view body;
    milliseconds timeout{0}; // For the whole attempt.
};

enum class attempt_result
{
    whole_answer,
    refused_before_run, // The upstream says that it did not run.
    connect_failed,     // Nothing was sent.
    broken // Cut off, late, or not an answer to this attempt; it may have run.
};

/// What an attempt gave. Status, content type and body are those of a whole
/// answer; `reason` explains all others.
struct upstream_answer
{
    attempt_result result = attempt_result::broken;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    std::string reason;
};

/// Sends requests to upstreams.
class upstream_caller
{
public:
    virtual ~upstream_caller() = default;

    /// Sends one attempt and blocks for its result. May be called from several
    /// threads.
    virtual upstream_answer call(const upstream_attempt& attempt) = 0;
};

} // namespace limpetstack

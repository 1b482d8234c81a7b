#pragma once

#include <string>

namespace limpetstack::test
{

/// A connection of one HTTP client that sends its requests one after the other.
/// It connects again after an error.
class caller_connection
{
public:
    explicit caller_connection(std::string address);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Sends `request` and returns the status code of the answer, 0 when the
    /// connection broke first.
    int call(const std::string& request);

private:
    int read_status();

    const std::string address_;
    int socket_ = -1;
    std::string received_;
};

} // namespace limpetstack::test

#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace review
{

/// Milliseconds on the steady clock, which all processes of a machine share.
std::int64_t steady_ms();

/// The record of a case: a file with one JSON object a line, to which the
/// driver and its stand-ins append. Each line is written by a single call.
class record
{
public:
    /// `who` names the writer in each of its lines.
    record(std::string file, std::string who);
    ~record();
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    /// Appends a line with the time and the writer.
    void write(const std::string& what,
               const nlohmann::json& fields = nlohmann::json::object());

    /// Returns all whole lines of the file from `offset` on and moves it.
    std::vector<nlohmann::json> read(std::size_t& offset) const;

private:
    const std::string file_;
    const std::string who_;
    int descriptor_ = -1;
};

} // namespace review

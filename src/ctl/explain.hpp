#pragma once

#include "ctl/command_line.hpp"

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetstack
{

/// One line of a daemon's log.
struct log_record
{
    std::string time; // ISO 8601 with milliseconds; sorts as text.
    std::string host;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields; // Without these.
};

/// Parses a line of `key=value` pairs; words before `time=` are skipped, so
/// that collectors may add some. Nothing when it is no log line.
std::optional<log_record> parse_log_line(std::string_view line);

/// Returns the records that concern a job, a worker or a call's target, oldest
/// first, together with what happened to the hosts and to the job's workers
/// between the first and the last of them.
std::vector<log_record> timeline_of(const std::vector<log_record>& records,
                                    const std::string& id);

/// Reads `files`, or `input` when there are none, and prints the timeline of
/// `id`. `refused` when no line concerns it.
exit_code explain(const std::string& id, const std::vector<std::string>& files,
                  bool json, std::istream& input, std::ostream& out,
                  std::ostream& errors);

} // namespace limpetstack

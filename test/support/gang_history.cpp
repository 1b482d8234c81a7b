#include "support/gang_history.hpp"

#include <algorithm>
#include <limits>
#include <map>

namespace limpetstack::test
{
namespace
{

constexpr auto never = std::numeric_limits<std::int64_t>::max();

struct attempt_summary
{
    std::vector<member_interval> members;
    std::int64_t first_start = never;
    std::int64_t last_start = 0;
    std::int64_t first_loss = never; // First end that is not a completion.
    std::int64_t last_end = 0;       // `never` while a member runs.
};

attempt_summary summarize(const std::vector<member_interval>& intervals)
{
    attempt_summary result;
    result.members = intervals;
    for (const auto& interval : intervals)
    {
        const auto end = interval.ended_ms.value_or(never);
        result.first_start = std::min(result.first_start, interval.started_ms);
        result.last_start = std::max(result.last_start, interval.started_ms);
        result.last_end = std::max(result.last_end, end);
        if (!interval.done && interval.ended_ms)
        {
            result.first_loss = std::min(result.first_loss, end);
        }
    }
    return result;
}

std::string check_attempt(const std::string& name,
                          const attempt_summary& attempt, std::uint32_t members,
                          std::int64_t bound_ms)
{
    // Until when a part may run: from the first start while members are
    // missing, from the first loss otherwise.
    auto allowed =
        attempt.first_loss == never ? never : attempt.first_loss + bound_ms;
    if (attempt.members.size() < members)
    {
        allowed = std::min(allowed, attempt.first_start + bound_ms);
    }
    else if (attempt.last_start - attempt.first_start > bound_ms)
    {
        return name +
               " had members alone for longer than the bound at its start";
    }
    for (const auto& member : attempt.members)
    {
        const auto end = member.ended_ms.value_or(never);
        if (end > allowed)
        {
            return name + " member " + std::to_string(member.member) +
                   " ran on for " +
                   (end == never
                        ? std::string("ever")
                        : std::to_string(end - allowed + bound_ms) + " ms") +
                   " as part of a gang that was not whole";
        }
    }
    return "";
}

} // namespace

std::string check_gang(const std::vector<member_interval>& intervals,
                       std::uint32_t members, std::int64_t bound_ms)
{
    std::map<std::string, std::map<std::uint32_t, std::vector<member_interval>>>
        jobs;
    for (const auto& interval : intervals)
    {
        jobs[interval.job][interval.attempt].push_back(interval);
    }
    for (const auto& [job, attempts] : jobs)
    {
        std::int64_t previous_end = 0;
        for (const auto& [number, parts] : attempts)
        {
            const auto name = job + " attempt " + std::to_string(number);
            const auto attempt = summarize(parts);
            if (attempt.first_start < previous_end)
            {
                return name + " overlaps an earlier attempt";
            }
            previous_end = attempt.last_end;
            auto error = check_attempt(name, attempt, members, bound_ms);
            if (!error.empty())
            {
                return error;
            }
        }
    }
    return "";
}

} // namespace limpetstack::test

// Judges the crashes under a subtask.
#include "coordination/fleet/crash_evidence.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

namespace limpetstack::fleet
{
namespace
{

// The weights of crashes as evidence against a subtask.
constexpr std::size_t known_cause_weight = 2;
constexpr std::size_t unknown_cause_weight = 1;

// A subtask is given up at this weight, that of three crashes of known cause,
// if these are of two workers at least.
constexpr std::size_t proof_weight = 6;

// It is given up after this many crashes if all of known cause are of one
// worker, which may itself be at fault.
constexpr std::size_t crashes_with_one_worker = 5;

// At least this many crashes must have the start of the subtask, or of another
// one of its job, as their only explanation.
constexpr std::size_t min_sole_causes = 2;

// Further starts of the subtask wait after this many crashes of any kind.
constexpr std::size_t crashes_before_wait = 2;

// Losses are rare while at most one worker, or one in this many, is lost.
constexpr std::size_t workers_per_rare_loss = 20;

} // namespace

bool proves_crashing(const std::vector<crash_record>& crashes)
{
    std::size_t weight = 0;
    std::size_t sole_causes = 0;
    std::set<std::string> addresses;
    for (const auto& crash : crashes)
    {
        if (crash.cause == crash_cause::unknown)
        {
            weight += unknown_cause_weight;
            continue;
        }
        weight += known_cause_weight;
        sole_causes += crash.cause == crash_cause::sole ? 1 : 0;
        addresses.insert(crash.address);
    }
    return sole_causes >= min_sole_causes && weight >= proof_weight &&
           (addresses.size() > 1 || crashes.size() >= crashes_with_one_worker);
}

bool must_await_calm(const std::vector<crash_record>& crashes)
{
    return crashes.size() >= crashes_before_wait;
}

bool is_rare(std::size_t losses, std::size_t workers)
{
    return losses <= std::max<std::size_t>(workers / workers_per_rare_loss, 1);
}

std::string describe(const std::vector<crash_record>& crashes)
{
    std::string text;
    for (const auto& crash : crashes)
    {
        absl::StrAppend(&text, text.empty() ? "" : ", ", "run ", crash.run,
                        " on ", crash.worker, " at ", crash.at_ms,
                        crash.cause == crash_cause::unknown
                            ? " (other causes possible)"
                            : "");
    }
    return text;
}

} // namespace limpetstack::fleet

#include "coordination/fleet/call_sending.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace limpetstack::fleet
{
namespace
{

const char* name_of(sending_outcome outcome)
{
    switch (outcome)
    {
    case sending_outcome::open:
        return "open";
    case sending_outcome::no_effect:
        return "no_effect";
    default:
        return "unknown";
    }
}

} // namespace

bool has_unknown_outcome(const std::vector<call_sending>& sendings)
{
    return std::any_of(sendings.begin(), sendings.end(),
                       [](const call_sending& item)
                       {
                           return item.outcome == sending_outcome::unknown;
                       });
}

std::string describe(const std::vector<call_sending>& sendings, time_point now)
{
    return absl::StrJoin(sendings, ",",
                         [now](std::string* out, const call_sending& item)
                         {
                             absl::StrAppend(out, item.leader, "/", item.term,
                                             "/", (now - item.sent_at).count(),
                                             "/", name_of(item.outcome));
                         });
}

} // namespace limpetstack::fleet

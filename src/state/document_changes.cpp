#include "state/document_changes.hpp"

#include "peer.pb.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace limpetstack
{
namespace
{

// Keeps a message readable when many accounts changed.
constexpr std::size_t max_listed_names = 10;

using digests = std::map<std::string, std::uint64_t>;

digests accounts_of(const wire::document_summary& summary)
{
    digests result;
    for (const auto& account : summary.accounts())
    {
        result.emplace(account.name(), account.digest());
    }
    return result;
}

std::vector<std::string> missing_in(const digests& other, const digests& from)
{
    std::vector<std::string> names;
    for (const auto& [name, digest] : from)
    {
        if (other.count(name) == 0)
        {
            names.push_back(name);
        }
    }
    return names;
}

void add_part(std::vector<std::string>& parts, const char* what,
              std::vector<std::string> names)
{
    if (names.empty())
    {
        return;
    }
    const auto hidden = names.size() - std::min(names.size(), max_listed_names);
    names.resize(names.size() - hidden);
    auto text = absl::StrCat(what, " ", absl::StrJoin(names, ", "));
    if (hidden > 0)
    {
        absl::StrAppend(&text, " and ", hidden, " more");
    }
    parts.push_back(text);
}

} // namespace

std::string describe_changes(const wire::document_summary& before,
                             const wire::document_summary& after)
{
    const auto old_accounts = accounts_of(before);
    const auto new_accounts = accounts_of(after);
    std::vector<std::string> changed;
    for (const auto& [name, digest] : new_accounts)
    {
        const auto old = old_accounts.find(name);
        if (old != old_accounts.end() && old->second != digest)
        {
            changed.push_back(name);
        }
    }
    std::vector<std::string> parts;
    add_part(parts, "added", missing_in(old_accounts, new_accounts));
    add_part(parts, "removed", missing_in(new_accounts, old_accounts));
    add_part(parts, "changed", changed);
    if (before.fleet() != after.fleet())
    {
        parts.emplace_back("fleet changed");
    }
    return parts.empty() ? "nothing" : absl::StrJoin(parts, "; ");
}

} // namespace limpetstack

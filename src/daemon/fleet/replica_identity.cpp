#include "daemon/fleet/replica_identity.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

// This file exists on founding members only and holds the peer addresses of all
// founding members.
constexpr char founders_file[] = "fleet-founders";

log_snapshot make_founding_snapshot(const std::vector<std::string>& founders)
{
    log_snapshot snapshot;
    snapshot.index = 1;
    snapshot.term = 1;
    for (const auto& address : founders)
    {
        auto& member = *snapshot.members.add_members();
        member.set_id(founder_id(address));
        member.set_host(address);
        member.set_peer_address(address);
        member.set_voter(true);
    }
    return snapshot;
}

} // namespace

std::uint64_t founder_id(const std::string& peer_address)
{
    return stable_hash(absl::StrCat("founder ", peer_address)) | 1U;
}

absl::StatusOr<replica_storage> open_replica(const node_settings& settings)
{
    replica_storage out;
    auto folder = data_folder::open(settings.data_folder);
    if (!folder.ok())
    {
        return folder.status();
    }
    out.folder = std::move(*folder);
    auto log = log_store::open(*out.folder, out.content);
    if (!log.ok())
    {
        return log.status();
    }
    out.log = std::move(*log);
    std::vector<std::string> founders;
    const auto stored_founders = out.folder->read_checked_file(founders_file);
    if (stored_founders.ok())
    {
        founders = absl::StrSplit(*stored_founders, ' ');
    }
    else if (!absl::IsNotFound(stored_founders.status()))
    {
        return stored_founders.status();
    }
    const auto& seeds = settings.seeds;
    if (founders.empty() && settings.first_start && empty(out.content) &&
        std::find(seeds.begin(), seeds.end(), settings.peer_address) !=
            seeds.end())
    {
        founders = seeds;
        std::sort(founders.begin(), founders.end());
        if (auto status = out.folder->replace_checked_file(
                founders_file, absl::StrJoin(founders, " "));
            !status.ok())
        {
            return status;
        }
    }
    if (founders.empty())
    {
        out.id = out.folder->replica_id();
        return out;
    }
    out.id = founder_id(settings.peer_address);
    // The log is also written when the founders' file already exists: an
    // earlier process may have ended after it wrote that file and before it
    // wrote the log.
    if (empty(out.content))
    {
        const auto snapshot = make_founding_snapshot(founders);
        if (auto status = out.log->install(snapshot); !status.ok())
        {
            return status;
        }
        out.content.snapshot = snapshot;
        out.content.base_index = snapshot.index;
        out.content.base_term = snapshot.term;
        log_event(log_level::info, "group_founded",
                  {{"members", absl::StrJoin(founders, ",")}});
    }
    return out;
}

} // namespace limpetstack::fleet

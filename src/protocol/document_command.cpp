#include "protocol/document_command.hpp"
#include "base/hash.hpp"

#include "peer.pb.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace limpetstack
{
namespace
{

// Values are separated, so that equal texts mean equal values; names hold no
// spaces.
void write(std::ostream& out, const guaranteed_shape& shape)
{
    out << shape.data_centre << ' ' << shape.count << ' ' << shape.members
        << ' ' << shape.accelerators << ' ' << shape.cores << ' '
        << shape.memory_mib << ' ' << static_cast<int>(shape.placement) << '\n';
}

void write(std::ostream& out, const service& entry)
{
    out << entry.name << ' ' << entry.idempotent << ' ' << entry.timeout.count()
        << ' ' << entry.max_attempts << '\n';
}

std::uint64_t digest(const client_account& account)
{
    std::ostringstream out;
    out << account.weight << '\n' << account.guarantees.size() << '\n';
    for (const auto& shape : account.guarantees)
    {
        write(out, shape);
    }
    for (const auto& entry : account.services)
    {
        write(out, entry);
    }
    return stable_hash(out.str());
}

std::uint64_t digest(const std::vector<rack_group>& fleet)
{
    std::ostringstream out;
    for (const auto& group : fleet)
    {
        out << group.data_centre << ' ' << group.racks << ' '
            << group.workers_per_rack << ' ' << group.cores << ' '
            << group.memory_mib << ' ' << group.accelerators << '\n';
    }
    return stable_hash(out.str());
}

} // namespace

wire::apply_document make_apply_document(std::uint64_t base_version,
                                         std::string yaml,
                                         const document& parsed)
{
    wire::apply_document command;
    command.set_base_version(base_version);
    command.set_document(std::move(yaml));
    auto& summary = *command.mutable_summary();
    summary.set_fleet(digest(parsed.fleet));
    for (const auto& account : parsed.client_accounts)
    {
        auto& entry = *summary.add_accounts();
        entry.set_name(account.name);
        entry.set_digest(digest(account));
    }
    std::sort(summary.mutable_accounts()->begin(),
              summary.mutable_accounts()->end(),
              [](const auto& a, const auto& b)
              {
                  return a.name() < b.name();
              });
    return command;
}

} // namespace limpetstack

#include "base/hash.hpp"
#include "coordination/gang_coordinator.hpp"

#include <charconv>

namespace limpetstack
{
namespace
{

constexpr std::string_view id_prefix = "job-";
constexpr int id_random_bytes = 12;

} // namespace

std::string new_job_id(std::string_view data_centre, std::uint64_t incarnation)
{
    std::string id(id_prefix);
    id.append(data_centre).append("-");
    id.append(std::to_string(incarnation)).append("-");
    return id.append(random_hex(id_random_bytes));
}

job_home parse_job_id(std::string_view id)
{
    // A data centre's name may contain hyphens, the other parts do not.
    const auto random_at = id.rfind('-');
    if (id.substr(0, id_prefix.size()) != id_prefix || random_at == id.npos ||
        random_at < id_prefix.size())
    {
        return {};
    }
    const auto incarnation_at = id.rfind('-', random_at - 1);
    if (incarnation_at == id.npos || incarnation_at < id_prefix.size())
    {
        return {};
    }
    job_home home;
    const auto* const last = id.data() + random_at;
    const auto parsed =
        std::from_chars(id.data() + incarnation_at + 1, last, home.incarnation);
    if (parsed.ec != std::errc() || parsed.ptr != last)
    {
        return {};
    }
    home.data_centre = std::string(
        id.substr(id_prefix.size(), incarnation_at - id_prefix.size()));
    return home;
}

} // namespace limpetstack

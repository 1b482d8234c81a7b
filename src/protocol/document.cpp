#include "limpetstack/document.hpp"
#include "protocol/document_limits.hpp"
#include "protocol/yaml_errors.hpp"
#include "protocol/yaml_loader.hpp"
#include "protocol/yaml_reader.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace limpetstack
{
namespace
{

constexpr std::uint64_t mib_per_gib = 1024;

void read_gib(const yaml_map& map, presence need, std::uint64_t low,
              std::uint64_t& memory_mib)
{
    std::uint64_t gib = 0;
    map.read("memory_gib", need, low, max_memory_gib, gib);
    memory_mib = gib * mib_per_gib;
}

rack_group read_rack_group(yaml_errors& errors, const yaml_item& item)
{
    rack_group group;
    const yaml_map map(errors, item.node, item.path,
                       {"data_centre", "racks", "workers_per_rack", "cores",
                        "memory_gib", "accelerators"});
    const auto need = presence::required;
    map.read("data_centre", need, text_rule::name, group.data_centre);
    map.read("racks", need, 1U, max_racks, group.racks);
    map.read("workers_per_rack", need, 1U, max_workers_per_rack,
             group.workers_per_rack);
    map.read("cores", need, 1U, max_cores, group.cores);
    map.read("accelerators", need, 0U, max_accelerators, group.accelerators);
    read_gib(map, need, 1, group.memory_mib);
    return group;
}

// Members of the shape that one worker of the group can run side by side.
std::uint64_t members_per_worker(const rack_group& group,
                                 const guaranteed_shape& shape)
{
    auto members = std::numeric_limits<std::uint64_t>::max();
    const auto limit = [&](std::uint64_t has, std::uint64_t needs)
    {
        members = needs == 0 ? members : std::min(members, has / needs);
    };
    limit(group.accelerators, shape.accelerators);
    limit(group.cores, shape.cores);
    limit(group.memory_mib, shape.memory_mib);
    return members;
}

std::string member_text(const guaranteed_shape& shape)
{
    return std::to_string(shape.accelerators) + " accelerators, " +
           std::to_string(shape.cores) + " cores and " +
           std::to_string(shape.memory_mib / mib_per_gib) + " GiB";
}

bool check_data_centre(const yaml_map& map,
                       const std::vector<rack_group>& fleet,
                       const guaranteed_shape& shape)
{
    const bool declared =
        std::any_of(fleet.begin(), fleet.end(),
                    [&](const rack_group& group)
                    {
                        // An empty name has an error of
                        // its own.
                        return group.data_centre.empty() ||
                               group.data_centre == shape.data_centre;
                    });
    if (!declared)
    {
        map.error("data_centre", "no rack of " + shape.data_centre +
                                     " is declared in fleet; add it there or "
                                     "correct the name");
    }
    return declared;
}

// Checks that one gang of the shape fits the empty declared fleet. With
// adjacency rack it must fit one rack; otherwise it may use all racks.
void check_fit(const yaml_map& map, const std::vector<rack_group>& fleet,
               const guaranteed_shape& shape)
{
    std::uint64_t worker = 0;
    std::uint64_t rack = 0;
    std::uint64_t total = 0;
    for (const auto& group : fleet)
    {
        if (group.data_centre != shape.data_centre)
        {
            continue;
        }
        const auto here = members_per_worker(group, shape);
        worker = std::max(worker, here);
        rack = std::max(rack, here * group.workers_per_rack);
        total += here * group.workers_per_rack * group.racks;
    }
    if (worker == 0)
    {
        map.error("members", "one member needs " + member_text(shape) +
                                 ", but no declared worker of " +
                                 shape.data_centre + " has that much");
        return;
    }
    const bool one_rack = shape.placement == adjacency::rack;
    const auto room = one_rack ? rack : total;
    if (room < shape.members)
    {
        map.error("members",
                  std::to_string(shape.members) + " members of " +
                      member_text(shape) + " do not fit; " +
                      (one_rack ? "the largest rack of " : "all racks of ") +
                      shape.data_centre + (one_rack ? " holds " : " hold ") +
                      std::to_string(room) + "; use fewer or smaller members" +
                      (one_rack && total >= shape.members ? " or adjacency: any"
                                                          : ""));
    }
}

void read_adjacency(const yaml_map& map, guaranteed_shape& shape)
{
    std::string text = "any";
    map.read("adjacency", presence::optional, text_rule::any, text);
    if (text != "any" && text != "rack")
    {
        map.error("adjacency", "must be rack (all members in one rack) or any");
    }
    shape.placement = text == "rack" ? adjacency::rack : adjacency::any;
}

// The declared fleet; `valid` is false when its own errors make a check of the
// guarantees against it meaningless.
struct declared_fleet
{
    std::vector<rack_group> groups;
    bool valid = true;
};

guaranteed_shape read_shape(yaml_errors& errors, const yaml_item& item,
                            const declared_fleet& fleet)
{
    guaranteed_shape shape;
    const auto errors_before = errors.size();
    const yaml_map map(errors, item.node, item.path,
                       {"data_centre", "count", "members", "accelerators",
                        "cores", "memory_gib", "adjacency"});
    const auto need = presence::required;
    const auto optional = presence::optional;
    map.read("data_centre", need, text_rule::name, shape.data_centre);
    map.read("count", optional, 1U, max_gangs, shape.count);
    map.read("members", need, 1U, max_members, shape.members);
    map.read("accelerators", optional, 0U, max_accelerators,
             shape.accelerators);
    map.read("cores", optional, 0U, max_cores, shape.cores);
    read_gib(map, optional, 0, shape.memory_mib);
    read_adjacency(map, shape);
    const bool known_fleet = fleet.valid || !fleet.groups.empty();
    if (known_fleet && !shape.data_centre.empty() &&
        !check_data_centre(map, fleet.groups, shape))
    {
        return shape;
    }
    if (errors.size() != errors_before || !fleet.valid)
    {
        return shape;
    }
    if (shape.accelerators == 0 && shape.cores == 0 && shape.memory_mib == 0)
    {
        map.error("members", "the guarantee asks for nothing; set "
                             "accelerators, cores or memory_gib");
        return shape;
    }
    check_fit(map, fleet.groups, shape);
    return shape;
}

service read_service(yaml_errors& errors, const yaml_item& item,
                     std::set<std::string>& names)
{
    service result;
    const yaml_map map(errors, item.node, item.path,
                       {"name", "idempotent", "timeout", "max_attempts"});
    map.read("name", presence::required, text_rule::name, result.name);
    map.read("idempotent", presence::required, result.idempotent);
    map.read("timeout", presence::optional, min_service_timeout,
             max_service_timeout, result.timeout);
    map.read("max_attempts", presence::optional, 1U, max_service_attempts,
             result.max_attempts);
    if (!result.name.empty() && !names.insert(result.name).second)
    {
        map.error("name", "the account has two services named " + result.name +
                              "; rename or remove one");
    }
    return result;
}

client_account read_account(yaml_errors& errors, const yaml_item& item,
                            const declared_fleet& fleet,
                            std::set<std::string>& names)
{
    client_account account;
    const yaml_map map(errors, item.node, item.path,
                       {"name", "weight", "guarantees", "services"});
    map.read("name", presence::required, text_rule::name, account.name);
    map.read("weight", presence::optional, 1U, max_weight, account.weight);
    for (const auto& shape :
         map.list("guarantees", presence::optional, max_guarantees))
    {
        account.guarantees.push_back(read_shape(errors, shape, fleet));
    }
    std::set<std::string> services;
    for (const auto& entry :
         map.list("services", presence::optional, max_services))
    {
        account.services.push_back(read_service(errors, entry, services));
    }
    if (!account.name.empty() && !names.insert(account.name).second)
    {
        map.error("name", "two client accounts are named " + account.name +
                              "; rename or remove one");
    }
    return account;
}

} // namespace

parsed_document parse_document(std::string_view yaml)
{
    yaml_errors errors;
    document result;
    if (const auto root = load_yaml(yaml, max_document_bytes, errors))
    {
        const yaml_map map(errors, *root, "", {"fleet", "client_accounts"});
        for (const auto& item :
             map.list("fleet", presence::required, max_rack_groups))
        {
            result.fleet.push_back(read_rack_group(errors, item));
        }
        const declared_fleet fleet{result.fleet, errors.empty()};
        std::set<std::string> names;
        for (const auto& item :
             map.list("client_accounts", presence::required, max_accounts))
        {
            result.client_accounts.push_back(
                read_account(errors, item, fleet, names));
        }
    }
    if (!errors.empty())
    {
        return {std::nullopt, errors.sorted()};
    }
    return {std::move(result), {}};
}

const client_account* find_account(const document& source,
                                   std::string_view name)
{
    const auto found = std::find_if(source.client_accounts.begin(),
                                    source.client_accounts.end(),
                                    [&](const client_account& account)
                                    {
                                        return account.name == name;
                                    });
    return found == source.client_accounts.end() ? nullptr : &*found;
}

const service* find_service(const client_account& account,
                            std::string_view name)
{
    const auto found =
        std::find_if(account.services.begin(), account.services.end(),
                     [&](const service& entry)
                     {
                         return entry.name == name;
                     });
    return found == account.services.end() ? nullptr : &*found;
}

} // namespace limpetstack

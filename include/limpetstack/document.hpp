#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace limpetstack
{

/// A kind of request that a client account runs on upstreams.
struct service
{
    std::string name;
    bool idempotent = false;
    std::chrono::milliseconds timeout{30000};
    std::uint32_t max_attempts = 1;
};

enum class adjacency
{
    any,
    rack // All members in one rack.
};

/// Gangs that a client account can start at any time in one data centre.
struct guaranteed_shape
{
    std::string data_centre;
    std::uint32_t count = 1;        // Gangs of this shape.
    std::uint32_t members = 1;      // Each gang.
    std::uint32_t accelerators = 0; // Each member.
    std::uint32_t cores = 0;        // Each member.
    std::uint64_t memory_mib = 0;   // Each member.
    adjacency placement = adjacency::any;
};

struct client_account
{
    std::string name;
    std::uint32_t weight = 1; // Share of slots beside other accounts.
    std::vector<guaranteed_shape> guarantees;
    std::vector<service> services;
};

/// Racks of equal workers in one data centre.
struct rack_group
{
    std::string data_centre;
    std::uint32_t racks = 0;
    std::uint32_t workers_per_rack = 0;
    std::uint32_t cores = 0;        // Each worker.
    std::uint64_t memory_mib = 0;   // Each worker.
    std::uint32_t accelerators = 0; // Each worker.
};

/// The configuration document that operators write.
struct document
{
    std::vector<rack_group> fleet;
    std::vector<client_account> client_accounts;
};

/// One error of a document or a settings file. Line and column count from 1;
/// 0 means that the error belongs to no single place.
struct document_error
{
    int line = 0;
    int column = 0;
    std::string path; // For example client_accounts[0].services[1].timeout.
    std::string message;
};

/// A document, or every error that was found in it.
struct parsed_document
{
    std::optional<document> value;
    std::vector<document_error> errors;
};

/// Parses and validates a YAML document.
parsed_document parse_document(std::string_view yaml);

/// Returns the account or nothing.
const client_account* find_account(const document& source,
                                   std::string_view name);

/// Returns the account's service or nothing.
const service* find_service(const client_account& account,
                            std::string_view name);

inline bool operator==(const service& a, const service& b)
{
    return std::tie(a.name, a.idempotent, a.timeout, a.max_attempts) ==
           std::tie(b.name, b.idempotent, b.timeout, b.max_attempts);
}

inline bool operator==(const guaranteed_shape& a, const guaranteed_shape& b)
{
    return std::tie(a.data_centre, a.count, a.members, a.accelerators, a.cores,
                    a.memory_mib, a.placement) ==
           std::tie(b.data_centre, b.count, b.members, b.accelerators, b.cores,
                    b.memory_mib, b.placement);
}

inline bool operator==(const client_account& a, const client_account& b)
{
    return std::tie(a.name, a.weight, a.guarantees, a.services) ==
           std::tie(b.name, b.weight, b.guarantees, b.services);
}

inline bool operator==(const rack_group& a, const rack_group& b)
{
    return std::tie(a.data_centre, a.racks, a.workers_per_rack, a.cores,
                    a.memory_mib, a.accelerators) ==
           std::tie(b.data_centre, b.racks, b.workers_per_rack, b.cores,
                    b.memory_mib, b.accelerators);
}

inline bool operator==(const document& a, const document& b)
{
    return std::tie(a.fleet, a.client_accounts) ==
           std::tie(b.fleet, b.client_accounts);
}

} // namespace limpetstack

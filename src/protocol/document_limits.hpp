#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace limpetstack
{

// Bounds of a configuration document. The largest deployment planned has 190
// accounts, 2,400 workers and gangs of up to 256; the limits leave room for
// about four times that.
constexpr std::size_t max_document_bytes = 1U << 20U;
constexpr std::size_t max_accounts = 1000;
constexpr std::size_t max_services = 100;    // Each account.
constexpr std::size_t max_guarantees = 100;  // Each account.
constexpr std::size_t max_rack_groups = 100; // Whole fleet.
constexpr std::uint32_t max_racks = 1000;    // Each rack group.
constexpr std::uint32_t max_workers_per_rack = 1000;
constexpr std::uint32_t max_cores = 1024;       // Each worker or member.
constexpr std::uint32_t max_accelerators = 64;  // Each worker or member.
constexpr std::uint64_t max_memory_gib = 65536; // Each worker or member.
constexpr std::uint32_t max_weight = 1000;
constexpr std::uint32_t max_gangs = 10000;  // Each guarantee.
constexpr std::uint32_t max_members = 1024; // Each gang.
constexpr std::uint32_t max_service_attempts = 5;
constexpr std::chrono::milliseconds min_service_timeout{1};
constexpr std::chrono::milliseconds max_service_timeout{60 * 60 * 1000};

} // namespace limpetstack

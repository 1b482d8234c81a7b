#include "protocol/settings_file.hpp"
#include "protocol/document_limits.hpp"
#include "protocol/yaml_errors.hpp"
#include "protocol/yaml_loader.hpp"
#include "protocol/yaml_reader.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <map>
#include <utility>

namespace limpetstack
{
namespace
{

using std::chrono::milliseconds;

constexpr std::size_t max_settings_bytes = 1U << 20U;
constexpr std::size_t max_peers = 1000;
constexpr std::size_t max_voters = 7;
constexpr milliseconds shortest_interval{10};
constexpr milliseconds longest_interval{60 * 60 * 1000};
constexpr std::uint64_t kibibyte = 1U << 10U;
constexpr std::uint64_t largest_body_bytes = 1U << 30U;
constexpr std::uint64_t smallest_memory_bytes = 64U << 20U;
constexpr std::uint64_t largest_memory_bytes = std::uint64_t{1} << 40U;

// A time-out that covers fewer intervals than this expires on one lost or
// late message.
constexpr int intervals_per_timeout = 3;

void read_listen(const yaml_map& map, settings& result)
{
    const auto need = presence::required;
    const auto listen =
        map.map("listen", need, {"callers", "operators", "peers"});
    if (listen)
    {
        listen->read("callers", need, text_rule::listen,
                     result.callers_address);
        listen->read("operators", need, text_rule::listen,
                     result.operators_address);
        listen->read("peers", need, text_rule::listen, result.peers_address);
    }
}

peer_settings read_peer(yaml_errors& errors, const yaml_item& item,
                        std::map<std::string, std::string>& hosts,
                        std::map<std::string, std::string>& addresses)
{
    peer_settings peer;
    const yaml_map map(errors, item.node, item.path,
                       {"host", "data_centre", "address", "disk", "votes"});
    const auto need = presence::required;
    map.read("host", need, text_rule::name, peer.host);
    map.read("data_centre", need, text_rule::name, peer.data_centre);
    map.read("address", need, text_rule::address, peer.address);
    map.read("disk", presence::optional, peer.disk);
    map.read("votes", presence::optional, peer.votes);
    if (peer.votes && !peer.disk)
    {
        map.error("votes", "a host that votes needs a disk; add disk: true or "
                           "remove votes");
    }
    const auto check_unique = [&](const char* key, const std::string& value,
                                  std::map<std::string, std::string>& seen)
    {
        if (!value.empty() && !seen.emplace(value, item.path).second)
        {
            map.error(key, "the same " + std::string(key) +
                               " is already used by " + seen[value]);
        }
    };
    check_unique("host", peer.host, hosts);
    check_unique("address", peer.address, addresses);
    return peer;
}

void read_peers(yaml_errors& errors, const yaml_map& map, settings& result)
{
    std::map<std::string, std::string> hosts;
    std::map<std::string, std::string> addresses;
    std::size_t voters = result.votes ? 1 : 0;
    for (const auto& item : map.list("peers", presence::optional, max_peers))
    {
        auto peer = read_peer(errors, item, hosts, addresses);
        if (peer.host == result.host)
        {
            continue;
        }
        voters += peer.votes ? 1 : 0;
        result.peers.push_back(std::move(peer));
    }
    if (voters > max_voters)
    {
        map.error("peers", std::to_string(voters) +
                               " hosts vote; at most 7 may, so that a write "
                               "waits for few disks");
    }
}

void check_timeout(const yaml_map& map, std::string_view key,
                   milliseconds timeout, std::string_view interval_key,
                   milliseconds interval)
{
    if (timeout < intervals_per_timeout * interval)
    {
        map.error(key, "must be at least " +
                           std::to_string(intervals_per_timeout) + " times " +
                           std::string(interval_key) + " (" +
                           duration_text(interval) + "), but is " +
                           duration_text(timeout));
    }
}

void read_timing(const yaml_map& root, timing_settings& timing)
{
    const auto map =
        root.map("timing", presence::optional,
                 {"heartbeat", "election_timeout", "config_poll",
                  "spread_interval", "digest_interval", "host_timeout",
                  "announcement_lease", "tombstone_retention", "worker_lease",
                  "request_timeout", "shutdown_timeout"});
    if (!map)
    {
        return;
    }
    const auto read = [&](const char* key, milliseconds& value)
    {
        map->read(key, presence::optional, shortest_interval, longest_interval,
                  value);
    };
    read("heartbeat", timing.heartbeat);
    read("election_timeout", timing.election_timeout);
    read("config_poll", timing.config_poll);
    read("spread_interval", timing.spread_interval);
    read("digest_interval", timing.digest_interval);
    read("host_timeout", timing.host_timeout);
    read("announcement_lease", timing.announcement_lease);
    read("tombstone_retention", timing.tombstone_retention);
    read("worker_lease", timing.worker_lease);
    read("request_timeout", timing.request_timeout);
    read("shutdown_timeout", timing.shutdown_timeout);
    check_timeout(*map, "election_timeout", timing.election_timeout,
                  "heartbeat", timing.heartbeat);
    check_timeout(*map, "host_timeout", timing.host_timeout, "spread_interval",
                  timing.spread_interval);
    // A shorter tombstone could be gone while an older announcement of the
    // same upstream is still accepted.
    if (timing.tombstone_retention < timing.announcement_lease)
    {
        map->error("tombstone_retention",
                   "must be at least announcement_lease (" +
                       duration_text(timing.announcement_lease) + "), but is " +
                       duration_text(timing.tombstone_retention));
    }
}

void read_limits(const yaml_map& root, limit_settings& limits)
{
    const auto map =
        root.map("limits", presence::optional,
                 {"request_body_bytes", "document_bytes", "queue_length",
                  "snapshot_entries", "http_threads", "memory_bytes"});
    if (!map)
    {
        return;
    }
    const auto optional = presence::optional;
    map->read_size("request_body_bytes", optional, kibibyte, largest_body_bytes,
                   limits.request_body_bytes);
    map->read_size("document_bytes", optional, kibibyte, max_document_bytes,
                   limits.document_bytes);
    map->read("queue_length", optional, 1U, 1000000U, limits.queue_length);
    map->read("snapshot_entries", optional, 1U, 1000000U,
              limits.snapshot_entries);
    map->read("http_threads", optional, 1U, 4096U, limits.http_threads);
    map->read_size("memory_bytes", optional, smallest_memory_bytes,
                   largest_memory_bytes, limits.memory_bytes);
}

void read_settings(yaml_errors& errors, const YAML::Node& root,
                   settings& result)
{
    const yaml_map map(errors, root, "",
                       {"host", "data_centre", "listen", "data_folder", "votes",
                        "peers", "timing", "limits"});
    const auto need = presence::required;
    const auto optional = presence::optional;
    map.read("host", need, text_rule::name, result.host);
    map.read("data_centre", need, text_rule::name, result.data_centre);
    read_listen(map, result);
    map.read("data_folder", optional, text_rule::any, result.data_folder);
    map.read("votes", optional, result.votes);
    if (result.votes && !map.has("data_folder"))
    {
        map.error("votes", "a host that votes needs a disk; set data_folder "
                           "or remove votes");
    }
    read_peers(errors, map, result);
    read_timing(map, result.timing);
    read_limits(map, result.limits);
}

} // namespace

parsed_settings parse_settings(std::string_view yaml)
{
    yaml_errors errors;
    settings result;
    if (const auto root = load_yaml(yaml, max_settings_bytes, errors))
    {
        read_settings(errors, *root, result);
    }
    if (!errors.empty())
    {
        return {std::nullopt, errors.sorted()};
    }
    return {std::move(result), {}};
}

parsed_settings load_settings(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    if (file)
    {
        // One byte more than allowed is enough to refuse the file.
        text.resize(max_settings_bytes + 1);
        file.read(text.data(), static_cast<std::streamsize>(text.size()));
        text.resize(static_cast<std::size_t>(file.gcount()));
    }
    if (!file.is_open() || file.bad() || (text.empty() && !file.eof()))
    {
        return {
            std::nullopt,
            {{0, 0, "", path + ": can not be read: " + std::strerror(errno)}}};
    }
    auto result = parse_settings(text);
    for (auto& error : result.errors)
    {
        if (error.line == 0)
        {
            error.message = path + ": " + error.message;
        }
    }
    return result;
}

} // namespace limpetstack

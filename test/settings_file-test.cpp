#include "protocol/settings_file.hpp"

#include "support/temporary_folder.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace limpetstack
{
namespace
{

const std::string valid = R"(host: a
data_centre: dc1
listen:
  callers: 127.0.0.1:0
  operators: 127.0.0.1:7002
  peers: "[::1]:7003"
data_folder: /data
votes: true
peers:
  - {host: a, data_centre: dc1, address: 127.0.0.1:7003, disk: true, votes: true}
  - {host: b, data_centre: dc2, address: 127.0.0.2:7003, disk: true, votes: true}
  - {host: c, data_centre: dc1, address: 127.0.0.3:7003}
timing:
  heartbeat: 50ms
  worker_lease: 4s
limits:
  request_body_bytes: 2MiB
  queue_length: 100
  memory_bytes: 128MiB
)";

std::string replaced(const std::string& from, const std::string& to)
{
    auto text = valid;
    return text.replace(text.find(from), from.size(), to);
}

std::string only_error(const std::string& yaml)
{
    const auto result = parse_settings(yaml);
    if (result.value || result.errors.size() != 1)
    {
        return std::to_string(result.errors.size()) + " errors";
    }
    const auto& error = result.errors.front();
    return std::to_string(error.line) + " " + error.path + ": " + error.message;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// Guards against keys that are read into the wrong member or unit.
TEST(settings_file, all_groups_are_read)
{
    const auto result = parse_settings(valid);
    ASSERT_TRUE(result.value);
    const auto& value = *result.value;
    EXPECT_EQ(value.host, "a");
    EXPECT_EQ(value.data_centre, "dc1");
    EXPECT_EQ(value.callers_address, "127.0.0.1:0");
    EXPECT_EQ(value.operators_address, "127.0.0.1:7002");
    EXPECT_EQ(value.peers_address, "[::1]:7003");
    EXPECT_EQ(value.data_folder, "/data");
    EXPECT_TRUE(value.votes);
    ASSERT_EQ(value.peers.size(), 2U) << "the host itself is no peer";
    EXPECT_EQ(value.peers[0].host, "b");
    EXPECT_TRUE(value.peers[0].votes);
    EXPECT_FALSE(value.peers[1].disk);
    EXPECT_EQ(value.timing.heartbeat.count(), 50);
    EXPECT_EQ(value.timing.worker_lease.count(), 4000);
    EXPECT_EQ(value.timing.config_poll.count(), 500);
    EXPECT_EQ(value.limits.request_body_bytes, 2U << 20U);
    EXPECT_EQ(value.limits.queue_length, 100U);
    EXPECT_EQ(value.limits.memory_bytes, 128U << 20U);
}

// Guards against settings that start a daemon in a state nobody asked for.
TEST(settings_file, wrong_settings_are_refused)
{
    EXPECT_TRUE(contains(only_error(replaced("data_folder: /data\n", "")),
                         "7 votes: a host that votes needs a disk"));
    EXPECT_TRUE(contains(only_error(replaced("worker_lease", "worker_lese")),
                         "did you mean worker_lease?"));
    EXPECT_TRUE(contains(only_error(replaced("127.0.0.1:7002", "localhost:1")),
                         "5 listen.operators: must be an address IP:port"));
    EXPECT_TRUE(contains(only_error(replaced("127.0.0.3:7003", "127.0.0.3:0")),
                         "port from 1 to 65535"));
    EXPECT_TRUE(
        contains(only_error(replaced("127.0.0.3:7003", "127.0.0.2:7003")),
                 "same address is already used by peers[1]"));
    EXPECT_TRUE(contains(only_error(replaced("host: c", "host: b")),
                         "same host is already used by peers[1]"));
    EXPECT_TRUE(contains(
        only_error(replaced("127.0.0.3:7003", "127.0.0.3:7003, votes: true")),
        "peers[2].votes: a host that votes needs a disk"));
    EXPECT_TRUE(contains(only_error(replaced("2MiB", "2")),
                         "with the unit B, KiB, MiB or GiB"));
    EXPECT_TRUE(contains(only_error(replaced("128MiB", "63MiB")),
                         "limits.memory_bytes"));
    EXPECT_TRUE(contains(only_error(replaced("50ms", "500ms")),
                         "timing.election_timeout: must be at least 3 times "
                         "heartbeat (500ms), but is 1s"));
    EXPECT_TRUE(contains(only_error(replaced("host: a\n", "")),
                         "the key host is missing"));
}

// Guards against an error that does not say which file is meant.
TEST(settings_file, load_names_the_file)
{
    const auto missing = load_settings("/nonexistent/limpetstack.yaml");
    ASSERT_EQ(missing.errors.size(), 1U);
    EXPECT_TRUE(contains(missing.errors[0].message,
                         "/nonexistent/limpetstack.yaml: can not be read: No "
                         "such file"));
    const temporary_folder folder;
    const auto path = folder.path("settings.yaml");
    std::ofstream(path) << valid;
    EXPECT_TRUE(load_settings(path).value);
    std::ofstream(path) << valid + "---\n" + valid;
    EXPECT_TRUE(contains(load_settings(path).errors.at(0).message, path));
    EXPECT_FALSE(load_settings(testing::TempDir()).value);
}

} // namespace
} // namespace limpetstack

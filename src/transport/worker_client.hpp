#pragma once

#include "coordination/worker_control.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace httplib
{
class Client;
} // namespace httplib

namespace limpetstack
{

/// Calls workers over HTTP and keeps connections open between calls.
class worker_client : public worker_control
{
public:
    worker_client();
    ~worker_client() override;

    worker_client(const worker_client&) = delete;
    worker_client& operator=(const worker_client&) = delete;

    absl::StatusOr<std::vector<task_status>>
    call(worker_action action, const std::string& address,
         const worker_request& request, milliseconds timeout) override;

private:
    struct shard
    {
        std::mutex mutex;
        std::multimap<std::string, std::unique_ptr<httplib::Client>> idle;
    };

    shard& shard_of(const std::string& address);
    std::unique_ptr<httplib::Client> take(const std::string& address);
    void keep(const std::string& address,
              std::unique_ptr<httplib::Client> client);

    static constexpr std::size_t shard_count = 16;
    std::unique_ptr<shard[]> shards_;
};

/// Returns the body of a call to a worker, as in section 12 of the design.
std::string worker_request_json(const worker_request& request);

/// Reads the body of a worker's answer.
absl::StatusOr<std::vector<task_status>>
parse_worker_answer(std::string_view body);

} // namespace limpetstack

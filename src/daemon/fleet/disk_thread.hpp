#pragma once

#include "base/metrics.hpp"
#include "coordination/fleet/consensus_runner.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

namespace limpetstack::fleet
{

/// Runs disk jobs one after the other on a thread of its own and reports their
/// results on `io`.
class disk_thread : public disk_queue
{
public:
    disk_thread(boost::asio::io_context& io, metrics& counters);
    ~disk_thread() override;

    void run(std::function<absl::Status()> job,
             std::function<void(absl::Status)> done) override;

private:
    boost::asio::io_context& io_;
    metrics& counters_;
    boost::asio::thread_pool pool_;
};

} // namespace limpetstack::fleet

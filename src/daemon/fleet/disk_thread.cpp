#include "daemon/fleet/disk_thread.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace limpetstack::fleet
{

disk_thread::disk_thread(boost::asio::io_context& io, metrics& counters)
    : io_(io)
    , counters_(counters)
    , pool_(1)
{
}

// Waits for the jobs that are queued.
disk_thread::~disk_thread()
{
    pool_.join();
}

void disk_thread::run(std::function<absl::Status()> job,
                      std::function<void(absl::Status)> done)
{
    boost::asio::post(
        pool_,
        [this, job = std::move(job), done = std::move(done)]() mutable
        {
            const auto began_at = boot_now();
            auto status = job();
            counters_.observe_latency(
                "disk_ms",
                static_cast<double>((boot_now() - began_at).count()));
            boost::asio::post(io_,
                              [done = std::move(done), status]
                              {
                                  done(status);
                              });
        });
}

} // namespace limpetstack::fleet

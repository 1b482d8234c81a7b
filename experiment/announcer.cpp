#include "experiment/announcer.hpp"

#include "experiment/http.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace limpetstack::test
{
namespace
{

constexpr std::chrono::milliseconds slow_pace{1000};
constexpr std::chrono::milliseconds fast_pace{50};

} // namespace

announcer::announcer(std::vector<std::string> daemons, std::string path,
                     std::function<nlohmann::json()> content)
    : daemons_(std::move(daemons))
    , path_(std::move(path))
    , content_(std::move(content))
    , thread_(
          [this]
          {
              run();
          })
{
}

announcer::~announcer()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void announcer::announce_now()
{
    {
        const std::lock_guard lock(mutex_);
        urgent_ = 2;
    }
    wake_.notify_all();
}

bool announcer::announce_to(const std::string& daemon)
{
    auto message = content_();
    message["sequence"] = ++sequence_;
    const auto response = post(daemon, path_, message.dump());
    return response.status == 200;
}

void announcer::run()
{
    std::size_t next = 0;
    std::unique_lock lock(mutex_);
    while (!stopping_)
    {
        lock.unlock();
        const bool confirmed = announce_to(daemons_[next++ % daemons_.size()]);
        lock.lock();
        if (confirmed && urgent_ > 0)
        {
            --urgent_;
        }
        const auto pace = urgent_ > 0 || !confirmed ? fast_pace : slow_pace;
        const int before = urgent_;
        wake_.wait_for(lock, pace,
                       [&]
                       {
                           return stopping_ || urgent_ > before;
                       });
    }
}

} // namespace limpetstack::test

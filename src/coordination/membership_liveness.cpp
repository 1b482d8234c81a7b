#include "base/hash.hpp"
#include "base/log.hpp"
#include "base/metrics.hpp"
#include "coordination/membership.hpp"
#include "peer.pb.h"
#include "state/registry.hpp"

#include <absl/strings/str_cat.h>

#include <utility>

namespace limpetstack
{

bool membership::heard_recently(const std::string& host, time_point now) const
{
    const auto known = registry_.host(host);
    if (known)
    {
        return now - known->last_heard < settings_.timing.host_timeout;
    }
    const std::lock_guard lock(mutex_);
    return now - started_ < settings_.timing.host_timeout;
}

void membership::log_liveness(time_point now)
{
    for (auto& item : logged_live_)
    {
        const bool live = heard_recently(item.first, now);
        if (live == item.second)
        {
            continue;
        }
        item.second = live;
        metrics_.add(live ? "hosts_up_total" : "hosts_down_total");
        log_event(live ? log_level::info : log_level::warning,
                  live ? "host_up" : "host_down", {{"peer", item.first}});
    }
}

bool membership::is_live(const std::string& host) const
{
    if (host == settings_.host)
    {
        return true;
    }
    return centres_.count(host) > 0 && heard_recently(host, timers_.now());
}

bool membership::is_draining(const std::string& host) const
{
    if (host == settings_.host)
    {
        const std::lock_guard lock(mutex_);
        return draining_;
    }
    const auto known = registry_.host(host);
    return known && known->entry.draining();
}

std::vector<std::string>
membership::live_hosts(const std::string& data_centre) const
{
    std::vector<std::string> out;
    for (const auto& item : centres_)
    {
        if (item.second == data_centre && is_live(item.first))
        {
            out.push_back(item.first);
        }
    }
    return out;
}

void membership::set_draining()
{
    {
        const std::lock_guard lock(mutex_);
        draining_ = true;
    }
    spread(timers_.now(), true);
}

std::string membership::dispatcher_host(const std::string& data_centre,
                                        const std::string& service) const
{
    std::string best;
    std::pair<bool, std::uint64_t> best_rank;
    for (const auto& host : live_hosts(data_centre))
    {
        const std::pair<bool, std::uint64_t> rank{
            !is_draining(host),
            stable_hash(absl::StrCat(host, "\n", data_centre, "\n", service))};
        if (best.empty() || rank > best_rank)
        {
            best = host;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace limpetstack

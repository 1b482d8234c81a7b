#include "base/manual_timer_service.hpp"

#include <utility>

namespace limpetstack
{

timer_subscription manual_timer_service::schedule(milliseconds delay,
                                                  milliseconds period,
                                                  callback run)
{
    auto entry = std::make_shared<timer>(timer{period, std::move(run)});
    queue_.emplace(now_ + delay, entry);
    return entry;
}

timer_subscription manual_timer_service::every(milliseconds period,
                                               callback run)
{
    return schedule(period, period, std::move(run));
}

timer_subscription manual_timer_service::after(milliseconds delay, callback run)
{
    return schedule(delay, milliseconds(0), std::move(run));
}

void manual_timer_service::advance(milliseconds step)
{
    const auto end = now_ + step;
    while (!queue_.empty() && queue_.begin()->first <= end)
    {
        const auto first = queue_.begin();
        now_ = first->first;
        const auto entry = first->second.lock();
        queue_.erase(first);
        if (!entry)
        {
            continue;
        }
        entry->run(now_);
        if (entry->period.count() > 0)
        {
            queue_.emplace(now_ + entry->period, entry);
        }
    }
    now_ = end;
}

} // namespace limpetstack

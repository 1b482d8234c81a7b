#include "coordination/service_queue.hpp"

#include "base/metrics.hpp"
#include "base/timer_service.hpp"
#include "state/registry.hpp"

#include <algorithm>
#include <condition_variable>
#include <utility>

namespace limpetstack
{
namespace
{

// After a refusal or a failed connect an upstream gets nothing for this long,
// doubled with each one in a row. Another dispatcher may still hold its slots
// right after a takeover.
constexpr milliseconds first_hold{20};
constexpr milliseconds longest_hold{1000};
constexpr std::uint32_t most_doublings = 6;

// An evacuation ends by an operator's call, not by itself.
constexpr milliseconds evacuated_retry{1000};

} // namespace

struct service_queue::waiter
{
    const slot_request& request;
    slot_grant result;
    bool finished = false;
    std::condition_variable changed;
};

service_queue::service_queue(std::string service, std::string data_centre,
                             std::size_t length, const registry& state,
                             timer_service& timers, metrics& counters,
                             std::function<bool()> evacuated)
    : service_(std::move(service))
    , data_centre_(std::move(data_centre))
    , registry_(state)
    , timers_(timers)
    , metrics_(counters)
    , evacuated_(std::move(evacuated))
    , queue_(length)
{
}

service_queue::~service_queue() = default;

slot_grant service_queue::acquire(const slot_request& request)
{
    std::unique_lock lock(mutex_);
    if (evacuated())
    {
        metrics_.add("queue_evacuated_total");
        return {slot_outcome::evacuated, nullptr, evacuated_retry};
    }
    const auto now = timers_.now();
    refresh();
    const auto ticket = next_ticket_++;
    waiter self{request, {}, false, {}};
    if (request.again)
    {
        again_.push_back(ticket);
    }
    else
    {
        budget_.deposit();
        const auto pushed = queue_.push(
            {ticket, request.account, request.caller, request.deadline},
            request.weight, now, total_slots());
        if (pushed.displaced)
        {
            metrics_.add("queue_displaced_total");
            const auto loser = waiters_.find(*pushed.displaced);
            finish(*loser->second, slot_outcome::displaced, pushed.retry_after);
            waiters_.erase(loser);
        }
        if (!pushed.accepted)
        {
            metrics_.add(pushed.hopeless ? "queue_hopeless_total"
                                         : "queue_full_total");
            return {pushed.hopeless ? slot_outcome::hopeless
                                    : slot_outcome::displaced,
                    nullptr, pushed.retry_after};
        }
    }
    waiters_.emplace(ticket, &self);
    pump(now);
    self.changed.wait(lock,
                      [&]
                      {
                          return self.finished;
                      });
    return self.result;
}

void service_queue::release(const slot_request& request,
                            const std::string& upstream, slot_use use,
                            milliseconds elapsed)
{
    const std::lock_guard lock(mutex_);
    const auto now = timers_.now();
    auto& held = upstreams_[upstream];
    --held.in_use;
    switch (use)
    {
    case slot_use::answered:
        held.turned_away_in_row = 0;
        health_.succeeded(upstream, elapsed, now);
        queue_.learn(request.account, request.caller, elapsed);
        break;
    case slot_use::failed:
        health_.failed(upstream, now);
        queue_.learn(request.account, request.caller, elapsed);
        break;
    case slot_use::turned_away:
        held.hold_until =
            now + std::min(longest_hold,
                           first_hold * (1U << held.turned_away_in_row));
        held.turned_away_in_row =
            std::min(most_doublings, held.turned_away_in_row + 1);
        health_.inconclusive(upstream);
        break;
    case slot_use::unused:
        health_.inconclusive(upstream);
        break;
    }
    if (!held.entry && held.in_use == 0)
    {
        upstreams_.erase(upstream);
    }
    refresh();
    pump(now);
}

void service_queue::overdue(const std::string& upstream)
{
    const std::lock_guard lock(mutex_);
    health_.failed(upstream, timers_.now());
}

bool service_queue::withdraw_retry()
{
    const std::lock_guard lock(mutex_);
    return budget_.withdraw();
}

void service_queue::tick(time_point now)
{
    const std::lock_guard lock(mutex_);
    refresh();
    if (!waiters_.empty() && evacuated())
    {
        turn_away_all();
        return;
    }
    for (const auto& item : queue_.expire(now))
    {
        const auto found = waiters_.find(item.ticket);
        finish(*found->second, slot_outcome::expired, milliseconds(0));
        waiters_.erase(found);
        metrics_.add("queue_expired_total");
    }
    for (auto i = again_.begin(); i != again_.end();)
    {
        const auto found = waiters_.find(*i);
        if (found->second->request.deadline > now)
        {
            ++i;
            continue;
        }
        finish(*found->second, slot_outcome::expired, milliseconds(0));
        waiters_.erase(found);
        i = again_.erase(i);
    }
    pump(now);
}

std::size_t service_queue::waiting() const
{
    const std::lock_guard lock(mutex_);
    return waiters_.size();
}

std::uint32_t service_queue::in_use(const std::string& upstream) const
{
    const std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? 0 : found->second.in_use;
}

void service_queue::turn_away_all()
{
    metrics_.add("queue_evacuated_total",
                 static_cast<std::uint64_t>(waiters_.size()));
    while (queue_.pop())
    {
    }
    again_.clear();
    for (const auto& item : waiters_)
    {
        finish(*item.second, slot_outcome::evacuated, evacuated_retry);
    }
    waiters_.clear();
}

// Follows the registry when its set of upstreams has changed.
void service_queue::refresh()
{
    const auto version = registry_.upstream_version();
    if (seen_any_ && version == seen_version_)
    {
        return;
    }
    seen_any_ = true;
    seen_version_ = version;
    for (auto& item : upstreams_)
    {
        item.second.entry = nullptr;
    }
    std::set<std::string> ready;
    for (auto& entry : registry_.ready_upstreams(service_, data_centre_))
    {
        ready.insert(entry->id());
        upstreams_[entry->id()].entry = std::move(entry);
    }
    for (auto i = upstreams_.begin(); i != upstreams_.end();)
    {
        const bool gone = !i->second.entry && i->second.in_use == 0;
        i = gone ? upstreams_.erase(i) : std::next(i);
    }
    health_.retain(ready);
}

// Grants free slots, first to requests that had one before.
void service_queue::pump(time_point now)
{
    if (waiters_.empty() || evacuated())
    {
        return;
    }
    while (serve_again(now))
    {
    }
    while (queue_.size() > 0)
    {
        auto* const free = choose({}, now);
        if (free == nullptr)
        {
            return;
        }
        const auto next = queue_.pop();
        const auto found = waiters_.find(next->ticket);
        auto& to = *found->second;
        waiters_.erase(found);
        grant(to, *free);
    }
}

bool service_queue::serve_again(time_point now)
{
    for (auto i = again_.begin(); i != again_.end(); ++i)
    {
        const auto found = waiters_.find(*i);
        auto& to = *found->second;
        auto* const free = choose(to.request.tried, now);
        if (free != nullptr)
        {
            waiters_.erase(found);
            again_.erase(i);
            grant(to, *free);
            return true;
        }
    }
    return false;
}

std::uint32_t service_queue::capacity(const slots& subject)
{
    return std::min(subject.entry->slots(),
                    std::max<std::uint32_t>(1, subject.entry->connections()));
}

bool service_queue::usable(const slots& candidate, time_point now) const
{
    return candidate.entry && candidate.in_use < capacity(candidate) &&
           now >= candidate.hold_until &&
           health_.standing(candidate.entry->id(), now) !=
               upstream_standing::ejected;
}

// Returns the usable upstream with the smallest share of its slots in use. One
// that was tried before is returned only when all others are ejected or gone:
// waiting for a probe could take the whole deadline.
service_queue::slots* service_queue::choose(const std::set<std::string>& tried,
                                            time_point now)
{
    slots* best = nullptr;
    double best_load = 0;
    bool other_ready = false;
    slots* best_tried = nullptr;
    // The start rotates, so that equally loaded upstreams take turns.
    const std::size_t count = upstreams_.size();
    const std::size_t start = count == 0 ? 0 : rotation_++ % count;
    std::size_t position = 0;
    std::size_t best_distance = 0;
    for (auto& item : upstreams_)
    {
        const auto distance = (position++ + count - start) % count;
        const bool was_tried = tried.count(item.first) > 0;
        other_ready = other_ready || (item.second.entry && !was_tried &&
                                      health_.standing(item.first, now) !=
                                          upstream_standing::ejected);
        if (!usable(item.second, now))
        {
            continue;
        }
        if (was_tried)
        {
            best_tried = &item.second;
            continue;
        }
        const double load =
            static_cast<double>(item.second.in_use) / capacity(item.second);
        if (best == nullptr || load < best_load ||
            (load == best_load && distance < best_distance))
        {
            best = &item.second;
            best_load = load;
            best_distance = distance;
        }
    }
    return best != nullptr || other_ready ? best : best_tried;
}

void service_queue::grant(waiter& to, slots& from)
{
    ++from.in_use;
    health_.started(from.entry->id());
    to.result.upstream = from.entry;
    finish(to, slot_outcome::granted, milliseconds(0));
}

// The waiter may be gone as soon as the lock is free.
void service_queue::finish(waiter& subject, slot_outcome outcome,
                           milliseconds retry_after)
{
    subject.result.outcome = outcome;
    subject.result.retry_after = retry_after;
    subject.finished = true;
    subject.changed.notify_one();
}

std::uint32_t service_queue::total_slots() const
{
    std::uint32_t out = 0;
    for (const auto& item : upstreams_)
    {
        out += item.second.entry ? capacity(item.second) : 0;
    }
    return out;
}

} // namespace limpetstack

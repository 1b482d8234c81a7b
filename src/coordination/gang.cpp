#include "coordination/gang.hpp"

#include <algorithm>

namespace limpetstack
{

time_point oldest_seen(const gang& g)
{
    auto oldest = time_point::max();
    for (const auto& m : g.members)
    {
        if (!m.ended)
        {
            oldest = std::min(oldest, m.seen);
        }
    }
    return oldest;
}

bool certainly_stopped(const gang& g, time_point now)
{
    return std::all_of(g.members.begin(), g.members.end(),
                       [now, &g](const auto& m)
                       {
                           return m.ended || (g.fenced && now >= m.lapse);
                       });
}

double gang_progress(const gang& g)
{
    // Members checkpoint together; the gang continues from the least.
    double least = 1;
    for (const auto& m : g.members)
    {
        least = std::min(least, m.done ? 1 : m.progress);
    }
    return std::max(g.record.progress(), g.members.empty() ? 0 : least);
}

task_order order_of(const gang& g, std::size_t member)
{
    const auto& spec = g.record.spec();
    task_order order;
    order.job = g.record.id();
    order.attempt = g.record.attempt();
    order.member = static_cast<std::uint32_t>(member);
    order.accelerators = spec.accelerators();
    order.cores = spec.cores();
    order.memory_mib = spec.memory_mib();
    order.command = spec.command();
    order.progress = g.record.progress();
    return order;
}

void expect_extension(gang_member& m, milliseconds lease, time_point now)
{
    m.lapse = std::max(m.lapse, now) + lease;
}

void confirm_extension(gang_member& m, milliseconds lease, time_point sent,
                       time_point answered)
{
    m.seen = std::max(m.seen, sent);
    m.lapse = std::max(m.unanswered, answered + lease);
}

void miss_extension(gang_member& m, milliseconds lease, milliseconds delay,
                    time_point sent)
{
    m.unanswered = std::max(m.unanswered, sent + delay + lease);
    m.lapse = std::max(m.lapse, m.unanswered);
}

void call_batch::add(const gang& g, std::size_t member, std::uint64_t epoch,
                     milliseconds lease, bool alone)
{
    const auto& m = g.members[member];
    const auto [at, added] = positions_.emplace(
        std::tuple(m.worker, lease, alone ? g.record.id() : std::string()),
        calls_.size());
    if (added)
    {
        worker_call call;
        call.worker = m.worker;
        call.address = m.address;
        call.request.epoch = epoch;
        call.request.lease = lease;
        calls_.push_back(std::move(call));
    }
    calls_[at->second].request.tasks.push_back(order_of(g, member));
}

} // namespace limpetstack

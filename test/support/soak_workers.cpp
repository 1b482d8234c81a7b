#include "support/soak_workers.hpp"

#include <utility>

namespace limpetstack::fleet
{
namespace
{

using test::link_state;

constexpr std::size_t workers_per_rack = 3;

// A host that does not acknowledge a departure is asked again after this time.
constexpr milliseconds announcement_interval{1000};

// A departure whose acknowledgement is lost, in percent.
constexpr unsigned lost_acknowledgements = 50;

} // namespace

soak_workers::soak_workers(boost::asio::io_context& io, std::size_t count,
                           unsigned seed, soak_rules& rules, sender send)
    : io_(io)
    , random_(seed)
    , rules_(rules)
    , send_(std::move(send))
{
    for (std::size_t i = 0; i < count; ++i)
    {
        auto item = std::make_shared<member>();
        item->place = i;
        item->worker = make_worker(i);
        members_.push_back(std::move(item));
    }
}

soak_workers::~soak_workers() = default;

milliseconds soak_workers::between(unsigned low_ms, unsigned high_ms)
{
    return milliseconds(low_ms + random_() % (high_ms - low_ms));
}

std::unique_ptr<soak_worker> soak_workers::make_worker(std::size_t place)
{
    return std::make_unique<soak_worker>(
        io_, "w" + std::to_string(next_worker_++),
        "r" + std::to_string(place / workers_per_rack), rules_);
}

void soak_workers::advance(time_point now)
{
    for (const auto& item : members_)
    {
        if (now < item->up_at)
        {
            continue;
        }
        if (!item->worker->is_up())
        {
            item->worker->start_again();
            item->worker->link().set(link_state::open, link_state::open);
        }
        item->worker->advance();
        if (item->draining)
        {
            advance_departure(*item, now);
        }
    }
}

void soak_workers::advance_departure(member& item, time_point now)
{
    if (item.acknowledged || (item.announced && now >= item.ends_at))
    {
        item.worker->crash(); // Everything on it ends.
        item.worker = make_worker(item.place);
        item.draining = false;
        item.announced = false;
        item.acknowledged = false;
        return;
    }
    if (now >= item.leaves_at && now >= item.announce_at)
    {
        announce_departure(item, now);
    }
}

void soak_workers::announce_departure(member& item, time_point now)
{
    if (!item.announced)
    {
        item.announced = true;
        item.ends_at = now + between(1000, 4000);
    }
    item.announce_at = now + announcement_interval;
    const bool lost = chance(lost_acknowledgements);
    for (const auto& owner : members_)
    {
        if (owner.get() != &item)
        {
            continue;
        }
        send_("DELETE", "/-/instances/" + item.worker->id(), "",
              [weak = std::weak_ptr<member>(owner), id = item.worker->id(),
               lost](unsigned status)
              {
                  const auto member = weak.lock();
                  if (member && member->worker->id() == id && !lost &&
                      status == 200)
                  {
                      member->acknowledged = true;
                  }
              });
    }
}

void soak_workers::report(time_point now)
{
    for (const auto& item : members_)
    {
        if (item->worker->is_up() && now >= item->reports_at)
        {
            send_("PUT", "/-/instances/" + item->worker->id(),
                  item->worker->report(item->draining), [](unsigned) {});
        }
    }
}

void soak_workers::disturb(time_point now)
{
    auto& item = *members_[random_() % members_.size()];
    if (!item.worker->is_up())
    {
        return;
    }
    const auto kind = random_() % 6;
    if (kind == 0 && !item.draining)
    {
        item.draining = true;
        item.leaves_at = now + between(500, 2000);
        item.announce_at = item.leaves_at;
    }
    else if (kind == 1 && !item.draining)
    {
        item.worker->link().set(link_state::closed, link_state::closed);
        item.worker->crash();
        item.up_at = now + between(50, 2000);
        item.reports_at = item.up_at + between(0, 2000);
    }
    else
    {
        static constexpr link_state states[] = {
            link_state::open, link_state::open, link_state::black_hole,
            link_state::closed};
        item.worker->link().set(states[random_() % 4], states[random_() % 4]);
    }
}

void soak_workers::open_links()
{
    for (const auto& item : members_)
    {
        if (item->worker->is_up())
        {
            item->worker->link().set(link_state::open, link_state::open);
        }
    }
}

} // namespace limpetstack::fleet

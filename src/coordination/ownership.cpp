#include "coordination/ownership.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace limpetstack
{
namespace
{

const ownership_host* find_live(const std::vector<ownership_host>& hosts,
                                const std::string& name)
{
    const auto found = std::find_if(hosts.begin(), hosts.end(),
                                    [&](const ownership_host& host)
                                    {
                                        return host.entry.host() == name;
                                    });
    return found != hosts.end() && found->live ? &*found : nullptr;
}

// Returns the usable hosts of a data centre, the best first.
std::vector<const ownership_host*>
usable_hosts(const std::string& data_centre,
             const std::vector<ownership_host>& hosts)
{
    std::vector<const ownership_host*> usable;
    for (const auto& host : hosts)
    {
        if (host.live && !host.entry.draining() && host.entry.has_journal() &&
            host.entry.data_centre() == data_centre)
        {
            usable.push_back(&host);
        }
    }
    std::sort(usable.begin(), usable.end(),
              [](const ownership_host* a, const ownership_host* b)
              {
                  return std::make_tuple(!a->entry.has_disk(),
                                         a->entry.host()) <
                         std::make_tuple(!b->entry.has_disk(), b->entry.host());
              });
    return usable;
}

// Returns whether the host still has the journal that it owns.
bool holds_journal(const ownership_host& host, const wire::owner_record& record)
{
    const auto& journal = host.entry.journal();
    const bool reports_loss =
        journal.epoch() == record.epoch() && journal.lost();
    return journal.store() == record.owner_store() && !reports_loss;
}

bool complete_copy(const ownership_host& host, const wire::owner_record& record)
{
    const auto& journal = host.entry.journal();
    return journal.store() == record.copy_store() &&
           journal.incarnation() == record.incarnation() &&
           journal.complete_epoch() == record.epoch();
}

bool prepared_candidate(const ownership_host& host,
                        const wire::owner_record& record)
{
    const auto& journal = host.entry.journal();
    return journal.incarnation() == record.incarnation() &&
           journal.candidate_epoch() == record.epoch();
}

void set_owner(wire::owner_record& record, const ownership_host& host)
{
    record.set_owner(host.entry.host());
    record.set_owner_store(host.entry.journal().store());
}

void set_copy(wire::owner_record& record, const ownership_host* host)
{
    record.set_copy(host ? host->entry.host() : "");
    record.set_copy_store(host ? host->entry.journal().store() : 0);
}

// A journal that starts empty has a copy at once: there is nothing to copy.
std::optional<wire::owner_record>
empty_journal(const std::string& data_centre, std::uint64_t epoch,
              std::uint64_t incarnation,
              const std::vector<ownership_host>& hosts)
{
    const auto usable = usable_hosts(data_centre, hosts);
    if (usable.empty())
    {
        return std::nullopt;
    }
    wire::owner_record record;
    record.set_data_centre(data_centre);
    record.set_epoch(epoch);
    record.set_incarnation(incarnation);
    set_owner(record, *usable[0]);
    set_copy(record, usable.size() > 1 ? usable[1] : nullptr);
    return record;
}

// The owner lives and has its journal.
std::optional<wire::owner_record>
with_owner(const wire::owner_record& current, const ownership_host& owner,
           const ownership_host* copy, const std::vector<ownership_host>& hosts)
{
    auto next = current;
    next.set_epoch(current.epoch() + 1);
    const auto& journal = owner.entry.journal();
    if (journal.epoch() != current.epoch())
    {
        return std::nullopt; // It has not heard of its record yet.
    }
    if (!current.copy().empty())
    {
        if (owner.entry.draining() && copy && !copy->entry.draining() &&
            complete_copy(*copy, current))
        {
            set_owner(next, *copy);
            set_copy(next, nullptr);
            return next;
        }
        if (!journal.copy_lost())
        {
            return std::nullopt;
        }
        set_copy(next, nullptr);
        return next;
    }
    for (const auto* host : usable_hosts(current.data_centre(), hosts))
    {
        if (host != &owner && prepared_candidate(*host, current))
        {
            set_copy(next, host);
            return next;
        }
    }
    return std::nullopt;
}

} // namespace

ownership::ownership(ownership_options options)
    : options_(options)
{
}

std::vector<wire::owner_record>
ownership::propose(const std::vector<wire::owner_record>& records,
                   const std::vector<ownership_host>& hosts, time_point now)
{
    std::set<std::string> data_centres;
    for (const auto& host : hosts)
    {
        data_centres.insert(host.entry.data_centre());
    }
    std::vector<wire::owner_record> proposals;
    for (const auto& name : data_centres)
    {
        const auto current =
            std::find_if(records.begin(), records.end(),
                         [&](const wire::owner_record& record)
                         {
                             return record.data_centre() == name;
                         });
        const bool known = current != records.end();
        const auto [found, fresh] = states_.try_emplace(name);
        auto& state = found->second;
        if (fresh || (known && state.epoch != current->epoch()))
        {
            state.epoch = known ? current->epoch() : 0;
            state.quiet_until = now + options_.host_timeout;
            state.lost_since.reset();
        }
        auto next = known ? next_record(*current, hosts, state, now)
                          : first_record(name, hosts);
        if (next && now >= state.quiet_until)
        {
            state.quiet_until = now + options_.host_timeout;
            proposals.push_back(*std::move(next));
        }
    }
    return proposals;
}

std::optional<wire::owner_record>
ownership::first_record(const std::string& data_centre,
                        const std::vector<ownership_host>& hosts) const
{
    return empty_journal(data_centre, 1, 1, hosts);
}

std::optional<wire::owner_record>
ownership::next_record(const wire::owner_record& current,
                       const std::vector<ownership_host>& hosts,
                       data_centre_state& state, time_point now) const
{
    const auto* owner = find_live(hosts, current.owner());
    const auto* copy =
        current.copy().empty() ? nullptr : find_live(hosts, current.copy());
    if (owner && holds_journal(*owner, current))
    {
        state.lost_since.reset();
        return with_owner(current, *owner, copy, hosts);
    }
    if (copy && complete_copy(*copy, current))
    {
        auto next = current;
        next.set_epoch(current.epoch() + 1);
        set_owner(next, *copy);
        set_copy(next, nullptr);
        return next;
    }
    if (!state.lost_since)
    {
        state.lost_since = now;
    }
    if (now < *state.lost_since + options_.lost_timeout)
    {
        return std::nullopt;
    }
    return empty_journal(current.data_centre(), current.epoch() + 1,
                         current.incarnation() + 1, hosts);
}

std::string choose_candidate(const wire::owner_record& record,
                             const std::vector<ownership_host>& hosts)
{
    for (const auto* host : usable_hosts(record.data_centre(), hosts))
    {
        if (host->entry.host() != record.owner())
        {
            return host->entry.host();
        }
    }
    return "";
}

} // namespace limpetstack

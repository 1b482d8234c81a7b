// Calls, faults and time in a journal cluster.
#include "support/journal_cluster.hpp"

#include "support/journal_cluster_impl.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>

namespace limpetstack
{
namespace
{

constexpr std::size_t id_count = 8; // Few, so that calls meet.
constexpr int max_depth = 3;        // Of events within a message.

} // namespace

wire::transition_response journal_cluster::call(std::size_t index,
                                                const std::string& id,
                                                wire::request_phase phase)
{
    auto& self = *hosts_[index];
    wire::transition_response none;
    none.set_unknown(true);
    if (!self.node || self.busy > 0)
    {
        return none;
    }
    wire::request_record record;
    record.set_id(id);
    record.set_phase(phase);
    history_call entry;
    entry.id = id;
    entry.asked = phase;
    entry.invoked = ++order_;
    if (phase == wire::request_done)
    {
        entry.payload = absl::StrCat("answer ", entry.invoked);
        record.set_answer(entry.payload);
    }
    const auto alive = self.alive;
    ++self.busy;
    ++depth_;
    const auto response = self.node->transition(record);
    --depth_;
    --self.busy;
    if (*alive)
    {
        entry.answered = ++order_;
        entry.applied = response.applied();
        entry.unknown = response.unknown();
        entry.current = response.current().phase();
        entry.current_payload = response.current().answer();
    }
    history_.push_back(entry);
    return *alive ? response : none;
}

void journal_cluster::random_call()
{
    static const wire::request_phase phases[] = {
        wire::request_started, wire::request_started, wire::request_done,
        wire::request_unknown, wire::request_not_run, wire::request_absent};
    if (ids_.size() < id_count || chance(5))
    {
        ids_.push_back(new_id());
    }
    const auto recent = std::min(ids_.size(), id_count);
    const auto& id = ids_[ids_.size() - 1 - random(recent)];
    // Mostly the owner, at times one that was the owner or never was.
    const auto host = chance(60) ? owner() : random(hosts_.size());
    call(host, std::string(id), phases[random(std::size(phases))]);
}

void journal_cluster::fault()
{
    const auto any = random(hosts_.size());
    if (chance(50))
    {
        // Repairs are possible at any time.
        restart(any);
        cut(any, random(hosts_.size()), false);
        cut_control(any, false);
        return;
    }
    if (options_.one_fault_at_a_time && !repaired())
    {
        return;
    }
    switch (random(6))
    {
    case 0:
        crash(any);
        break;
    case 1:
        crash(any, true);
        break;
    case 2:
        if (hosts_[any]->disk)
        {
            hosts_[any]->disk->tear_next = true;
        }
        break;
    case 3:
        cut_control(any, true);
        break;
    default:
        cut(any, random(hosts_.size()), true);
        break;
    }
}

void journal_cluster::step()
{
    if (depth_ > max_depth || settling_ || !options_.events_in_messages)
    {
        return;
    }
    ++depth_;
    const auto event = random(100);
    if (event < 40)
    {
        random_call();
    }
    else if (event < 55)
    {
        tick(random(hosts_.size()));
    }
    else if (event < 65)
    {
        learn(random(hosts_.size()));
    }
    else if (event < 75)
    {
        control_round();
    }
    else if (event < 80)
    {
        deliver_late();
    }
    else if (event < 85)
    {
        fault();
    }
    else
    {
        clock_->advance(milliseconds(random(400)));
    }
    --depth_;
}

void journal_cluster::run(int steps)
{
    for (int i = 0; i < steps; ++i)
    {
        step();
    }
}

std::vector<std::string> journal_cluster::settle()
{
    settling_ = true;
    options_.drop_percent = 0;
    options_.delay_percent = 0;
    cuts_.clear();
    for (int round = 0; round < 1000; ++round)
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            cut_control(i, false);
            if (hosts_[i]->node && !hosts_[i]->node->content().writable())
            {
                crash(i);
            }
            restart(i);
        }
        advance(milliseconds(100));
        if (round > 100 && repaired())
        {
            break;
        }
    }
    std::vector<std::string> unknown;
    for (const auto& id : ids_)
    {
        if (call(owner(), id, wire::request_absent).unknown())
        {
            unknown.push_back(id);
        }
    }
    return unknown;
}

std::size_t journal_cluster::random(std::size_t bound)
{
    return static_cast<std::size_t>(random_() % bound);
}

bool journal_cluster::chance(int percent)
{
    return random(100) < static_cast<std::size_t>(percent);
}

} // namespace limpetstack

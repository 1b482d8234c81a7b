#include "support/history_checker.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace limpetstack
{
namespace
{

constexpr auto never = std::numeric_limits<std::uint64_t>::max();

struct model
{
    wire::request_phase phase = wire::request_absent;
    std::string payload;
    bool was_started = false;

    bool operator<(const model& other) const
    {
        return std::tie(phase, payload, was_started) <
               std::tie(other.phase, other.payload, other.was_started);
    }
};

bool allowed(wire::request_phase from, wire::request_phase to)
{
    static const std::set<std::pair<wire::request_phase, wire::request_phase>>
        table = {{wire::request_absent, wire::request_started},
                 {wire::request_absent, wire::request_not_run},
                 {wire::request_started, wire::request_done},
                 {wire::request_started, wire::request_unknown},
                 {wire::request_unknown, wire::request_done}};
    return table.count({from, to}) != 0;
}

bool certain(const history_call& call)
{
    return call.answered && !call.unknown;
}

// Returns whether an answer fits the model's state.
bool answer_fits(const history_call& call, const model& state, bool stale)
{
    if (call.current == state.phase)
    {
        return call.current != wire::request_done ||
               call.current_payload == state.payload;
    }
    return stale &&
           ((call.current == wire::request_started && state.was_started) ||
            (call.current == wire::request_unknown &&
             state.phase == wire::request_done));
}

// Searches for an order of one id's calls that the model allows.
class search
{
public:
    search(std::vector<history_call> calls, bool stale)
        : calls_(std::move(calls))
        , stale_(stale)
        , placed_(calls_.size(), false)
    {
    }

    bool run(const model& state)
    {
        const auto end = earliest_end();
        if (end == never)
        {
            return true; // What is left need not have happened.
        }
        if (!seen_.insert({placed_, state}).second)
        {
            return false;
        }
        for (std::size_t i = 0; i < calls_.size(); ++i)
        {
            if (!placed_[i] && calls_[i].invoked < end && place(i, state))
            {
                return true;
            }
        }
        return false;
    }

private:
    std::uint64_t earliest_end() const
    {
        auto end = never;
        for (std::size_t i = 0; i < calls_.size(); ++i)
        {
            if (!placed_[i] && certain(calls_[i]))
            {
                end = std::min(end, *calls_[i].answered);
            }
        }
        return end;
    }

    bool place(std::size_t i, const model& state)
    {
        const auto& call = calls_[i];
        auto next = state;
        if (!certain(call) || call.applied)
        {
            if (!allowed(state.phase, call.asked))
            {
                return false;
            }
            next.phase = call.asked;
            next.payload = call.payload;
            next.was_started |= call.asked == wire::request_started;
        }
        else if (!answer_fits(call, state, stale_))
        {
            return false;
        }
        placed_[i] = true;
        const bool found = run(next);
        placed_[i] = false;
        return found;
    }

    std::vector<history_call> calls_;
    bool stale_;
    std::vector<bool> placed_;
    std::set<std::pair<std::vector<bool>, model>> seen_;
};

} // namespace

std::string check_history(const std::vector<history_call>& calls,
                          bool stale_phases_allowed)
{
    std::map<std::string, std::vector<history_call>> by_id;
    for (const auto& call : calls)
    {
        by_id[call.id].push_back(call);
    }
    for (const auto& [id, own] : by_id)
    {
        const auto started =
            std::count_if(own.begin(), own.end(),
                          [](const history_call& call)
                          {
                              return certain(call) && call.applied &&
                                     call.asked == wire::request_started;
                          });
        if (started > 1)
        {
            return id + ": started " + std::to_string(started) + " times";
        }
        if (!search(own, stale_phases_allowed).run({}))
        {
            return id + ": no order of the calls gives these answers";
        }
    }
    return "";
}

} // namespace limpetstack

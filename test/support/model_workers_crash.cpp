// Crashes and departures of simulated workers.
#include "support/model_workers.hpp"

#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds restart_time{3000};

// Time after which a worker repeats a departure call without an answer.
constexpr milliseconds departure_repeat{1000};

// Percentage of the departures that are never answered.
constexpr unsigned lost_departure_answers = 50;

} // namespace

void model_workers::crash(const std::string& id)
{
    auto& worker = workers_[id];
    if (worker.crashed)
    {
        return;
    }
    ++crashes;
    lose_runs(worker);
    delayed_.push_back({fixture_.now + restart_time, [this, id]
                        {
                            workers_[id + "+"];
                            fixture_.replace_worker(id, id + "+");
                        }});
}

void model_workers::lose_runs(model_worker& worker)
{
    const auto lost = std::exchange(worker.runs, {});
    worker.crashed = true;
    for (const auto& [key, run] : lost)
    {
        if (run.gang)
        {
            end_gang(run.run, run_broken, key);
        }
    }
}

void model_workers::depart(const std::string& id)
{
    auto& worker = workers_[id];
    if (worker.crashed || worker.departing)
    {
        return;
    }
    ++departures;
    worker.departing = true;
    fixture_.drain(id);
    worker.rack = fixture_.state.workers().at(id).rack();
    const auto call_at = fixture_.now + milliseconds(1000 + random_() % 2000);
    const auto ends_at = call_at + milliseconds(1000 + random_() % 3000);
    const bool answered = !chance(lost_departure_answers);
    delayed_.push_back({call_at, [this, id, ends_at, answered]
                        {
                            call_departure(id, ends_at, answered);
                        }});
    delayed_.push_back({ends_at, [this, id]
                        {
                            leave(id);
                        }});
}

// Calls for the departure, and repeats the call until the worker ends.
void model_workers::call_departure(const std::string& id, time_point ends_at,
                                   bool answered)
{
    const auto& worker = workers_[id];
    if (worker.crashed || fixture_.now >= ends_at)
    {
        return;
    }
    if (!worker.disconnected)
    {
        fixture_.depart(id,
                        [this, id, answered]
                        {
                            if (answered && !workers_[id].disconnected)
                            {
                                delayed_.push_back({fixture_.now, [this, id]
                                                    {
                                                        leave(id);
                                                    }});
                            }
                        });
    }
    delayed_.push_back({fixture_.now + departure_repeat,
                        [this, id, ends_at, answered]
                        {
                            call_departure(id, ends_at, answered);
                        }});
}

void model_workers::leave(const std::string& id)
{
    auto& worker = workers_[id];
    if (worker.crashed)
    {
        return;
    }
    lose_runs(worker);
    delayed_.push_back({fixture_.now + restart_time, [this, id]
                        {
                            add(id + "+", workers_[id].rack);
                        }});
}

void model_workers::report_all()
{
    for (const auto& [id, worker] : workers_)
    {
        // A departing worker may have been removed from the state already.
        if (!worker.crashed &&
            (!worker.departing || fixture_.state.workers().count(id) > 0))
        {
            fixture_.report(id);
        }
    }
}

std::string model_workers::random_worker()
{
    std::vector<std::string> up;
    for (const auto& [id, worker] : workers_)
    {
        if (!worker.crashed)
        {
            up.push_back(id);
        }
    }
    return up.at(random_() % up.size());
}

} // namespace limpetstack::fleet

// Crashes and departures of simulated workers.
#include "support/model_workers.hpp"

#include <string>
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
    if (end_process(id))
    {
        ++crashes;
        begin_successor(id);
    }
}

// Starts another worker at the same address after some time.
void model_workers::begin_successor(const std::string& id)
{
    delayed_.push_back({fixture_.now + restart_time, [this, id]
                        {
                            auto record = workers_[id].record;
                            record.set_id(id + "+");
                            record.set_born_ms(record.born_ms() + 1);
                            const auto difference =
                                workers_[id].clock_difference_ms;
                            begin_process(record.id(), record, {});
                            workers_[record.id()].clock_difference_ms =
                                difference;
                            report(record.id());
                        }});
}

void model_workers::depart(const std::string& id)
{
    auto& worker = workers_[id];
    if (worker.crashed || worker.departing || !worker.reporting)
    {
        return;
    }
    ++departures;
    worker.departing = true;
    fixture_.drain(id);
    const auto call_at = fixture_.now + milliseconds(1000 + random_() % 2000);
    const auto ends_at = call_at + milliseconds(1000 + random_() % 3000);
    const bool answered = !chance(lost_departure_answers);
    delayed_.push_back({call_at,
                        [this, id, process = worker.process, ends_at, answered]
                        {
                            call_departure(id, process, ends_at, answered);
                        }});
    delayed_.push_back({ends_at, [this, id, process = worker.process]
                        {
                            leave(id, process);
                        }});
}

// Calls for the departure, and repeats the call until the worker ends.
void model_workers::call_departure(const std::string& id, std::uint64_t process,
                                   time_point ends_at, bool answered)
{
    const auto& worker = workers_[id];
    if (worker.crashed || worker.process != process || fixture_.now >= ends_at)
    {
        return;
    }
    if (!worker.disconnected)
    {
        fixture_.depart(id,
                        [this, id, process, answered]
                        {
                            if (answered && !workers_[id].disconnected)
                            {
                                delayed_.push_back({fixture_.now,
                                                    [this, id, process]
                                                    {
                                                        leave(id, process);
                                                    }});
                            }
                        });
    }
    delayed_.push_back({fixture_.now + departure_repeat,
                        [this, id, process, ends_at, answered]
                        {
                            call_departure(id, process, ends_at, answered);
                        }});
}

void model_workers::leave(const std::string& id, std::uint64_t process)
{
    if (workers_[id].process == process && end_process(id))
    {
        begin_successor(id);
    }
}

void model_workers::report_all()
{
    for (const auto& [id, worker] : workers_)
    {
        report(id);
    }
}

std::string model_workers::random_worker()
{
    const auto up = all_up();
    return up.empty() ? workers_.begin()->first : up.at(random_() % up.size());
}

} // namespace limpetstack::fleet

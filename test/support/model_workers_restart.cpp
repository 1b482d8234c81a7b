// Restarts of simulated workers under the same id or another one, and their
// reports.
#include "support/model_workers.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr unsigned shortest_restart_ms = 50;
constexpr unsigned longest_restart_ms = 2000;
constexpr unsigned longest_report_delay_ms = 2000;
constexpr unsigned largest_clock_difference_ms = 3000;

} // namespace

// A process is up for a moment before it answers.
std::int64_t model_workers::clock_of(const model_worker& worker) const
{
    return std::max<std::int64_t>((fixture_.now - worker.clock_start).count(),
                                  1);
}

// Returns false when the worker is down already.
bool model_workers::end_process(const std::string& id)
{
    auto& worker = workers_[id];
    if (worker.crashed)
    {
        return false;
    }
    ++worker.process;
    worker.crashed = true;
    const auto lost = std::exchange(worker.runs, {});
    for (const auto& [key, run] : lost)
    {
        if (run.gang)
        {
            end_gang(run.run, run_broken, key);
        }
    }
    return true;
}

// A new process knows nothing of an earlier one under its id.
void model_workers::begin_process(const std::string& id,
                                  const worker_record& record,
                                  time_point clock_start)
{
    auto& worker = workers_[id];
    model_worker next;
    next.record = record;
    next.clock_start = clock_start;
    next.process = worker.process + 1;
    next.disconnected = worker.disconnected;
    worker = std::move(next);
}

void model_workers::begin_process_later(const worker_record& record,
                                        std::int64_t clock_difference_ms)
{
    const milliseconds down(shortest_restart_ms +
                            random_() %
                                (longest_restart_ms - shortest_restart_ms + 1));
    const milliseconds report_delay(random_() % (longest_report_delay_ms + 1));
    delayed_.push_back(
        {fixture_.now + down, [this, record, clock_difference_ms, report_delay]
         {
             auto born = record;
             born.set_born_ms(fixture_.wall_ms + clock_difference_ms);
             begin_process(born.id(), born, fixture_.now);
             auto& worker = workers_[born.id()];
             worker.clock_difference_ms = clock_difference_ms;
             worker.reporting = false;
             delayed_.push_back(
                 {fixture_.now + report_delay,
                  [this, id = born.id(), process = worker.process]
                  {
                      auto& reporter = workers_[id];
                      if (reporter.process == process)
                      {
                          reporter.reporting = true;
                          report(id);
                      }
                  }});
         }});
}

void model_workers::restart(const std::string& id)
{
    if (end_process(id))
    {
        ++crashes;
        begin_process_later(workers_[id].record,
                            workers_[id].clock_difference_ms);
    }
}

void model_workers::replace(const std::string& id)
{
    if (!end_process(id))
    {
        return;
    }
    ++crashes;
    auto record = workers_[id].record;
    record.set_id(id + "+");
    const auto difference =
        static_cast<std::int64_t>(random_() %
                                  (2 * largest_clock_difference_ms + 1)) -
        largest_clock_difference_ms;
    begin_process_later(record, difference);
}

void model_workers::disconnect_for(const std::string& id, milliseconds duration)
{
    set_disconnected(id, true);
    delayed_.push_back({fixture_.now + duration, [this, id]
                        {
                            set_disconnected(id, false);
                        }});
}

void model_workers::reconnect_all()
{
    for (auto& [id, worker] : workers_)
    {
        worker.disconnected = false;
    }
}

// Reports of incarnations that are gone, and of earlier ones, have no effect.
void model_workers::report(const std::string& id)
{
    const auto& worker = workers_.at(id);
    if (worker.crashed || !worker.reporting ||
        fixture_.state.is_gone({id, worker.record.born_ms()}))
    {
        return;
    }
    const auto known = fixture_.state.workers().find(id);
    if (known == fixture_.state.workers().end() ||
        known->second.born_ms() < worker.record.born_ms())
    {
        fleet_command command;
        *command.mutable_worker() = worker.record;
        fixture_.apply(command);
    }
    worker_report report;
    report.worker = worker.record;
    report.worker_time_ms = clock_of(worker);
    report.sequence = static_cast<std::uint64_t>(report.worker_time_ms);
    fixture_.workers->record_report(report, fixture_.now);
}

} // namespace limpetstack::fleet

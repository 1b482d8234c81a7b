// Reports what is still at work in evacuated data centres.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <numeric>

namespace limpetstack::fleet
{

void worker_fleet::log_evacuation(const evacuation& change,
                                  apply_result result) const
{
    if (result == apply_result::refused)
    {
        return;
    }
    std::size_t workers = 0;
    std::size_t runs = 0;
    for (const auto& [id, worker] : workers_)
    {
        if (worker.record.data_centre() == change.data_centre())
        {
            ++workers;
            runs += worker.runs.size();
        }
    }
    log_event(
        log_level::info,
        change.active() ? "evacuation_started" : "evacuation_ended",
        {{"data_centre", change.data_centre()},
         {"outcome", result == apply_result::changed ? "changed" : "repeated"},
         {"workers", absl::StrCat(workers)},
         {"runs", absl::StrCat(runs)},
         {"epoch", absl::StrCat(epoch_)}});
}

std::size_t worker_fleet::evacuated_runs() const
{
    return std::accumulate(workers_.begin(), workers_.end(), std::size_t{0},
                           [this](std::size_t sum, const auto& entry)
                           {
                               return sum + (is_evacuated(entry.second)
                                                 ? entry.second.runs.size()
                                                 : 0);
                           });
}

} // namespace limpetstack::fleet

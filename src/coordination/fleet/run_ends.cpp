// Records why runs ended, so that a run that is still listed afterwards can be
// traced to the conclusion that was wrong.
#include "coordination/fleet/worker_fleet.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <utility>

namespace limpetstack::fleet
{
namespace
{

// Number of ended runs whose reason is remembered.
constexpr std::size_t max_recent_ends = 8192;

std::string to_text(std::optional<milliseconds> time)
{
    return time ? absl::StrCat(time->count()) : "";
}

} // namespace

// Logs the end of a run with the age of what proves it: the time since the
// worker's last answer, and the time left until its leases have expired.
void worker_fleet::log_end(const live_run& run, run_end end, const char* reason,
                           time_point now)
{
    const auto key = key_of(run.ref);
    std::optional<milliseconds> lease_left;
    std::optional<milliseconds> silence;
    if (const auto* const worker = session_of(run.location))
    {
        silence = now - worker->last_contact;
        if (const auto expiry = worker->clock.expiry_time())
        {
            lease_left = *expiry - now;
        }
    }
    counters_.add(
        absl::StrCat("run_ends_total{end=\"", run_end_Name(end), "\"}"));
    log_event(log_level::info, "run_ended",
              {{"job", run.ref.job()},
               {"run", key},
               {"worker", run.incarnation.worker},
               {"born_ms", absl::StrCat(run.incarnation.born_ms)},
               {"end", run_end_Name(end)},
               {"reason", reason},
               {"start_attempts", absl::StrCat(run.start_attempts)},
               {"lease_left_ms", to_text(lease_left)},
               {"silent_ms", to_text(silence)},
               {"epoch", absl::StrCat(epoch_)}});
    if (recent_ends_.insert_or_assign(key, ended_record{reason, now}).second)
    {
        recent_end_keys_.push_back(key);
    }
    if (recent_end_keys_.size() > max_recent_ends)
    {
        recent_ends_.erase(recent_end_keys_.front());
        recent_end_keys_.pop_front();
    }
}

} // namespace limpetstack::fleet

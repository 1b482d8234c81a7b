// Tickets of starts: a run of a queue with a policy waits for a ticket that is
// valid when its start is sent.
#include "coordination/fleet/worker_fleet.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

// A committed run without a ticket keeps its capacity for this time. Then it is
// placed again, once the policy has answered.
constexpr milliseconds ticket_wait_limit{3000};

// The starts of a gang are sent together when all tickets are valid at once.
// After this time each is sent with its own ticket: the tickets may be too
// short for that, and members wait for each other for some seconds.
constexpr milliseconds gang_ticket_wait{1500};

// A run is placed anew after this many refused tickets. A worker that refuses
// several new ones may have a wrong clock.
constexpr int max_refused_tickets = 5;

placed_run placed(const live_run& run)
{
    return {run.ref, run.incarnation};
}

} // namespace

void worker_fleet::use_tickets(run_tickets tickets)
{
    tickets_ = std::move(tickets);
}

// Returns the ticket for the start of a committed run, without a value when the
// start has to wait.
std::optional<std::string> worker_fleet::ticket_for_start(const live_run& run,
                                                          time_point now) const
{
    auto ticket = tickets_.find(placed(run), now);
    const bool waits_for_gang =
        run.gang && (!run.ticket_wanted_at ||
                     now - *run.ticket_wanted_at < gang_ticket_wait);
    if (!ticket || ticket->empty() || !waits_for_gang)
    {
        return ticket;
    }
    const auto members = gang_members(run.ref);
    const bool all_valid =
        std::all_of(members.begin(), members.end(),
                    [&](const std::string& key)
                    {
                        const auto& member = runs_.at(key);
                        return member.phase != run_phase::committed ||
                               tickets_.find(placed(member), now);
                    });
    return all_valid ? ticket : std::nullopt;
}

// Lets the start of a committed run wait for its ticket, and collects the runs
// that have none.
void worker_fleet::wait_for_ticket(live_run& run,
                                   std::vector<placed_run>& without_ticket,
                                   time_point now)
{
    run.ticket_wanted_at = run.ticket_wanted_at.value_or(now);
    if (now - *run.ticket_wanted_at >= ticket_wait_limit)
    {
        propose_end(run, run_never, "", "no_ticket");
        return;
    }
    waiting_starts_.push_back(key_of(run.ref));
    log_wait(run, "ticket");
    if (!tickets_.find(placed(run), now))
    {
        without_ticket.push_back(placed(run));
    }
}

// Records that the worker refused the ticket of the run. Returns true when the
// start is sent again with another one: it has not been sent without an answer
// before, and its queue has a policy that gives tickets.
bool worker_fleet::may_renew_ticket(live_run& run, time_point now)
{
    tickets_.refuse(placed(run), now);
    ++run.refused_tickets;
    const auto ticket = tickets_.find(placed(run), now);
    const bool has_policy = !ticket || !ticket->empty();
    return has_policy && run.start_attempts == 1 && !run.stop_requested &&
           run.refused_tickets < max_refused_tickets;
}

// Sends an unanswered start again, when it has a valid ticket.
void worker_fleet::repeat_start(live_run& run, worker_session& worker,
                                time_point now)
{
    if (const auto ticket = tickets_.find(placed(run), now))
    {
        send_start(run, worker, *ticket, now);
        return;
    }
    repeats_without_ticket_.insert(key_of(run.ref));
    tickets_.renew({placed(run)}, now);
}

void worker_fleet::give_up_start(const std::string& key, worker_session& worker,
                                 time_point now)
{
    pause_starts(worker, now);
    stop(key, "start_unanswered", now);
}

// Goes on with starts that wait for a ticket.
void worker_fleet::resume_starts(time_point now)
{
    for (const auto& key : std::exchange(repeats_without_ticket_, {}))
    {
        const auto found = runs_.find(key);
        if (found == runs_.end() || found->second.stop_requested ||
            found->second.phase != run_phase::starting ||
            found->second.end_proposed ||
            !(found->second.location == found->second.incarnation))
        {
            continue;
        }
        auto* const worker = session_of(found->second.location);
        if (worker == nullptr)
        {
            continue;
        }
        if (may_repeat_start(found->second, *worker, now))
        {
            repeat_start(found->second, *worker, now);
        }
        else
        {
            give_up_start(key, *worker, now);
        }
    }
    newly_committed_.insert(newly_committed_.end(), waiting_starts_.begin(),
                            waiting_starts_.end());
    waiting_starts_.clear();
}

void worker_fleet::on_tickets(time_point now)
{
    if (deposed_)
    {
        return;
    }
    resume_starts(now);
    start_committed(now);
}

} // namespace limpetstack::fleet

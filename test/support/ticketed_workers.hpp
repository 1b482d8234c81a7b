#pragma once

#include "support/fleet_fixture.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// Simulates a policy service that allows all workers, and workers that check
/// the tickets of the fixture's queue `restricted`. A start takes a millisecond
/// to its worker; the service answers one question after the other.
class ticketed_workers
{
public:
    ticketed_workers(fleet_fixture& fixture, int worker_count,
                     const ticket_policy& policy);

    void advance(milliseconds time);

    milliseconds commit_interval{1};   // Proposals are committed this often.
    std::size_t unanswered_starts = 0; // Starts that are lost, from now on.
    std::size_t answers_left = std::numeric_limits<std::size_t>::max();
    bool refuses_all = false;

    std::set<std::string> started; // Keys of runs.
    time_point first_start;
    time_point last_start;
    std::size_t refused = 0; // Starts whose ticket was not valid.
    std::size_t questions = 0;

private:
    struct delayed_action
    {
        time_point at;
        std::function<void()> run;
    };

    void later(milliseconds delay, std::function<void()> run);
    void run_due();
    void take_questions();
    void take_starts();
    void take_start(const fake_worker_port::sent_start& item);
    void answer_others();

    fleet_fixture& fixture_;
    const ticket_policy policy_;
    std::vector<std::string> workers_;
    std::vector<delayed_action> delayed_;
    time_point service_free_at_;
    time_point next_commit_;
    time_point next_report_;
};

} // namespace limpetstack::fleet

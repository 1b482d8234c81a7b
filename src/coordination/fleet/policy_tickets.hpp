#pragma once

#include "base/clock.hpp"
#include "coordination/fleet/policy_port.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace limpetstack::fleet
{

/// A worker in one of its lives, as a policy knows it.
struct policy_candidate
{
    std::string worker;
    std::int64_t born_ms = 0;
};

/// The tickets that the leader holds for steps of queues with a policy. A
/// ticket counts for one life of a worker and for a limited time. For one
/// thread.
class policy_tickets
{
public:
    /// Job, occurrence and step.
    using step_key = std::tuple<std::string, std::uint32_t, std::uint32_t>;
    using clock_reader = std::function<time_point()>;

    /// `on_answer` is called after each answer.
    policy_tickets(policy_port& port, clock_reader clock,
                   std::function<void()> on_answer);

    /// Returns the ticket for a worker; null when there is none in force.
    const std::string* find(const step_key& step,
                            const policy_candidate& worker,
                            time_point now) const;

    /// Asks about those of the candidates, best first, about which nothing is
    /// known, unless a question about the step is open.
    void ask(const step_key& step, const ticket_policy& policy,
             const std::vector<policy_candidate>& candidates, time_point now);

    /// Drops a ticket that a worker did not take.
    void drop(const step_key& step, const std::string& worker);

    /// Drops what is known about the steps of a job.
    void forget(const std::string& job);

private:
    struct opinion
    {
        std::int64_t born_ms = 0;
        bool allowed = false;
        std::string ticket;
        time_point valid_until;
    };
    struct step_opinions
    {
        std::map<std::string, opinion> workers;
        bool asking = false;
        time_point retry_at;
    };

    bool is_known(const step_opinions& step, const policy_candidate& worker,
                  time_point now) const;
    void take(const step_key& step, const ticket_policy& policy,
              const std::vector<policy_candidate>& asked,
              const policy_port::answer& answer);

    policy_port& port_;
    clock_reader clock_;
    std::function<void()> on_answer_;
    std::map<step_key, step_opinions> steps_;
    // Callbacks that outlive this object do nothing.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace limpetstack::fleet

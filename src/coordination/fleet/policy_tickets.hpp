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

/// An incarnation of a worker about which a policy is asked.
struct policy_candidate
{
    std::string worker;
    std::int64_t born_ms = 0;
};

/// Caches the policy's decisions and tickets for steps of queues with a policy.
/// A ticket is valid for one incarnation of a worker and for a limited time.
/// This class must be used from one thread only.
class policy_tickets
{
public:
    /// Job, occurrence and step.
    using step_key = std::tuple<std::string, std::uint32_t, std::uint32_t>;
    using clock_reader = std::function<time_point()>;

    /// `on_answer` is called after each answer of the policy; it is not called
    /// when a question gets no answer.
    policy_tickets(policy_port& port, clock_reader clock,
                   std::function<void()> on_answer);

    /// Returns the ticket for a worker, or null when there is no valid one.
    const std::string* find(const step_key& step,
                            const policy_candidate& worker,
                            time_point now) const;

    /// Asks the policy about the candidates, best first, that have no current
    /// decision. Does nothing while a question about the step is open or its
    /// retry delay has not passed.
    void ask(const step_key& step, const ticket_policy& policy,
             const std::vector<policy_candidate>& candidates, time_point now);

    /// Drops the ticket for a worker, for instance when the worker refused it.
    void drop(const step_key& step, const std::string& worker);

    /// Drops all decisions about the steps of a job.
    void forget(const std::string& job);

private:
    struct decision
    {
        std::int64_t born_ms = 0;
        bool allowed = false;
        std::string ticket;
        time_point valid_until;
    };
    struct step_decisions
    {
        std::map<std::string, decision> workers;
        bool question_open = false;
        time_point retry_at;
    };

    bool is_known(const step_decisions& step, const policy_candidate& worker,
                  time_point now) const;
    void record_answer(const step_key& step, const ticket_policy& policy,
                       const std::vector<policy_candidate>& asked,
                       const policy_port::answer& answer);

    policy_port& port_;
    clock_reader clock_;
    std::function<void()> on_answer_;
    std::map<step_key, step_decisions> steps_;
    // Callbacks hold a weak pointer to this and do nothing after the object is
    // destroyed.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace limpetstack::fleet

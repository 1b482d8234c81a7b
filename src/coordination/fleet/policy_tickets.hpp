#pragma once

#include "base/clock.hpp"
#include "base/metrics.hpp"
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
/// A decision holds for the life of a worker, its ticket for a limited time
/// that a document names and that may be shorter than the way of a start.
/// Placements follow the decisions; a ticket is taken when the start is sent.
/// This class must be used from one thread only.
class policy_tickets
{
public:
    /// Job, occurrence and step.
    using step_key = std::tuple<std::string, std::uint32_t, std::uint32_t>;
    using clock_reader = std::function<time_point()>;

    /// `on_answer` is called after each answer of the policy; it is not called
    /// when a question gets no answer. Tickets are at their freshest then.
    policy_tickets(policy_port& port, clock_reader clock,
                   std::function<void()> on_answer, metrics& counters);

    /// Returns the ticket for a start that is sent now, or null when there is
    /// no valid one.
    const std::string* find(const step_key& step,
                            const policy_candidate& worker,
                            time_point now) const;

    /// Returns true when the policy allows the worker, and there is a valid
    /// ticket or the policy answers, so that a ticket can be had.
    bool may_place(const step_key& step, const policy_candidate& worker,
                   time_point now) const;

    /// Asks the policy about the candidates, best first, on which the step may
    /// be placed or not for want of an answer. Does nothing while a question
    /// about the step is open or its retry delay has not passed.
    void ask(const step_key& step, const ticket_policy& policy,
             const std::vector<policy_candidate>& candidates, time_point now);

    /// Asks the policy about the candidates without a valid ticket. Does
    /// nothing under the conditions of `ask`.
    void renew(const step_key& step, const ticket_policy& policy,
               const std::vector<policy_candidate>& candidates, time_point now);

    /// Drops a ticket that the worker refused, and delays the next question the
    /// longer, the more tickets of the step were refused lately.
    void refuse(const step_key& step, const std::string& worker,
                time_point now);

    /// Drops the decision on a worker.
    void drop(const step_key& step, const std::string& worker);

    /// Drops all decisions about the steps of a job.
    void forget(const std::string& job);

private:
    struct decision
    {
        std::int64_t born_ms = 0;
        bool allowed = false;
        std::string ticket;
        time_point answered_at;
        time_point valid_until;
    };
    struct step_decisions
    {
        std::map<std::string, decision> workers;
        bool question_open = false;
        time_point retry_at;
        time_point answered_at; // The last answer about any worker.
        int refusals = 0;       // Tickets refused in a row.
        time_point refused_at;
    };

    const decision* find_decision(const step_key& step,
                                  const policy_candidate& worker) const;
    void send(const step_key& step, const ticket_policy& policy,
              std::vector<policy_candidate> asked, time_point now);
    void record_answer(const step_key& step, const ticket_policy& policy,
                       const std::vector<policy_candidate>& asked,
                       time_point asked_at, const policy_port::answer& answer);

    policy_port& port_;
    clock_reader clock_;
    std::function<void()> on_answer_;
    metrics& counters_;
    std::map<step_key, step_decisions> steps_;
    // Callbacks hold a weak pointer to this and do nothing after the object is
    // destroyed.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace limpetstack::fleet

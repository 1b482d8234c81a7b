#include "coordination/dispatcher_run.hpp"

#include "base/metrics.hpp"
#include "coordination/request_answers.hpp"

#include <algorithm>
#include <thread>

namespace limpetstack
{
namespace
{

// Attempts that did not run on their upstream are repeated this often.
constexpr std::uint32_t max_unsent = 8;

// A transition to `done` is tried at least this often, and until the deadline.
constexpr int least_done_tries = 5;

constexpr milliseconds journal_retry_interval{50};

// A dispatcher that fails is replaced within 2 s; a request that it had started
// gets no answer after that.
constexpr milliseconds started_wait{2000};

constexpr milliseconds retry_soon{1000};

struct progress
{
    time_point deadline;
    std::uint32_t attempts = 0;
    std::uint32_t ran = 0;    // Attempts that may have run.
    std::uint32_t unsent = 0; // Attempts that did not.
    std::string reason;       // Of the last attempt.
};

const char* describe(slot_outcome outcome)
{
    switch (outcome)
    {
    case slot_outcome::granted:
        return "";
    case slot_outcome::expired:
        return "deadline passed in the queue";
    case slot_outcome::displaced:
        return "queue is full";
    case slot_outcome::hopeless:
        return "deadline can not be met";
    case slot_outcome::evacuated:
        return reason_evacuated;
    }
    return "";
}

slot_use use_of(const upstream_answer& answer)
{
    constexpr std::uint32_t first_server_error = 500;
    switch (answer.result)
    {
    case attempt_result::whole_answer:
        return answer.status >= first_server_error ? slot_use::failed
                                                   : slot_use::answered;
    case attempt_result::refused_before_run:
    case attempt_result::connect_failed:
        return slot_use::turned_away;
    case attempt_result::broken:
        break;
    }
    return slot_use::failed;
}

slot_request slot_request_of(const wire::forwarded_request& request,
                             const run_context& context, time_point deadline)
{
    slot_request out;
    out.account = request.account();
    out.caller = request.caller();
    out.weight = context.weight;
    out.deadline = deadline;
    return out;
}

// Sends one attempt on a granted upstream and returns the slot.
upstream_answer attempt_on(const wire::forwarded_request& request,
                           const run_context& context, slot_request& slot,
                           const wire::upstream_entry& upstream,
                           progress& state, milliseconds timeout)
{
    upstream_attempt attempt;
    attempt.address = upstream.address();
    attempt.connections = upstream.connections();
    attempt.id = request.id();
    attempt.attempt = ++state.attempts;
    attempt.account = request.account();
    attempt.service = request.service();
    attempt.content_type = request.content_type();
    attempt.body = request.body();
    attempt.timeout = timeout;
    const auto begun = context.timers.now();
    auto out = context.caller.call(attempt);
    const auto elapsed = context.timers.now() - begun;
    context.queue.release(slot, upstream.id(), use_of(out), elapsed);
    context.counters.observe("attempt_ms",
                             static_cast<double>(elapsed.count()));
    slot.tried.insert(upstream.id());
    slot.again = true;
    state.reason = out.reason;
    if (out.result == attempt_result::broken)
    {
        ++state.ran;
    }
    else if (out.result != attempt_result::whole_answer)
    {
        ++state.unsent;
    }
    return out;
}

wire::forwarded_answer finished(wire::forwarded_answer answer,
                                const progress& state,
                                const std::string& upstream)
{
    answer.set_attempts(state.attempts);
    answer.set_upstream(upstream);
    return answer;
}

wire::forwarded_answer no_answer(const progress& state,
                                 const std::string& reason,
                                 milliseconds retry_after)
{
    return finished(state.ran > 0 ? unknown_answer(reason, retry_after)
                                  : not_run_answer(reason, retry_after),
                    state, "");
}

} // namespace

wire::forwarded_answer run_idempotent(const wire::forwarded_request& request,
                                      const run_context& context)
{
    progress state;
    state.deadline = context.timers.now() + milliseconds(request.deadline_ms());
    auto slot = slot_request_of(request, context, state.deadline);
    while (true)
    {
        const auto granted = context.queue.acquire(slot);
        if (granted.outcome != slot_outcome::granted)
        {
            const std::string reason =
                state.attempts > 0 ? state.reason : describe(granted.outcome);
            return no_answer(state, reason, granted.retry_after);
        }
        const auto left = state.deadline - context.timers.now();
        if (left <= milliseconds(0))
        {
            context.queue.release(slot, granted.upstream->id(),
                                  slot_use::unused, milliseconds(0));
            return no_answer(state, describe(slot_outcome::expired),
                             milliseconds(0));
        }
        // An upstream that hangs must leave time for the other attempts.
        const auto share = std::max(
            milliseconds(1),
            left / static_cast<std::int64_t>(context.max_attempts - state.ran));
        const auto answer =
            attempt_on(request, context, slot, *granted.upstream, state, share);
        if (answer.result == attempt_result::whole_answer)
        {
            return finished(done_answer(answer), state, granted.upstream->id());
        }
        if (state.ran >= context.max_attempts || state.unsent > max_unsent ||
            context.timers.now() >= state.deadline)
        {
            return no_answer(state, state.reason, retry_soon);
        }
        if (!context.queue.withdraw_retry())
        {
            context.counters.add("retries_denied_total");
            return no_answer(state, state.reason, retry_soon);
        }
        context.counters.add("retries_total");
    }
}

namespace
{

/// One run of a non-idempotent request.
class single_run
{
public:
    single_run(const wire::forwarded_request& request,
               const run_context& context)
        : request_(request)
        , context_(context)
    {
        state_.deadline =
            context.timers.now() + milliseconds(request.deadline_ms());
        record_.set_id(request.id());
        record_.set_account(request.account());
        record_.set_service(request.service());
        record_.set_body_hash(request_hash(request));
    }

    wire::forwarded_answer go();

private:
    wire::transition_response decide(wire::request_phase phase,
                                     const std::string& reason);
    wire::forwarded_answer without_slot(const slot_grant& granted);
    wire::forwarded_answer settle_not_run(const std::string& reason);
    wire::forwarded_answer settle_unknown(const std::string& reason);
    wire::forwarded_answer settle_done(const upstream_answer& answer,
                                       const std::string& upstream);
    wire::forwarded_answer recorded(wire::request_record current,
                                    const std::string& reason);

    const wire::forwarded_request& request_;
    const run_context& context_;
    progress state_;
    wire::request_record record_; // Of the request, without a phase.
    bool started_ = false;
};

wire::transition_response single_run::decide(wire::request_phase phase,
                                             const std::string& reason)
{
    auto record = record_;
    record.set_phase(phase);
    record.set_reason(reason);
    return context_.decide(record);
}

wire::forwarded_answer single_run::go()
{
    auto slot = slot_request_of(request_, context_, state_.deadline);
    while (true)
    {
        const auto granted = context_.queue.acquire(slot);
        if (granted.outcome != slot_outcome::granted)
        {
            return without_slot(granted);
        }
        const auto& upstream = *granted.upstream;
        if (!started_)
        {
            const auto response = decide(wire::request_started, "");
            if (!response.applied())
            {
                context_.queue.release(slot, upstream.id(), slot_use::unused,
                                       milliseconds(0));
                return response.unknown()
                           ? unknown_answer("journal is not available",
                                            retry_soon)
                           : recorded(response.current(), response.reason());
            }
            started_ = true;
        }
        const auto left =
            std::max(milliseconds(0), state_.deadline - context_.timers.now());
        context_.sent_to(upstream.id());
        const auto answer = attempt_on(request_, context_, slot, upstream,
                                       state_, left + context_.late_window);
        context_.sent_to("");
        if (answer.result == attempt_result::whole_answer)
        {
            return settle_done(answer, upstream.id());
        }
        if (answer.result == attempt_result::broken ||
            state_.unsent > max_unsent ||
            context_.timers.now() >= state_.deadline)
        {
            return settle_unknown(answer.reason);
        }
    }
}

wire::forwarded_answer single_run::without_slot(const slot_grant& granted)
{
    const std::string reason = describe(granted.outcome);
    if (started_)
    {
        // The record allows no way back to not_run.
        return settle_unknown(reason);
    }
    if (granted.outcome == slot_outcome::expired)
    {
        return settle_not_run(reason);
    }
    return turned_away_answer(false, reason, granted.retry_after);
}

wire::forwarded_answer single_run::settle_not_run(const std::string& reason)
{
    const auto response = decide(wire::request_not_run, reason);
    if (response.applied())
    {
        return finished(not_run_answer(reason, retry_soon), state_, "");
    }
    if (response.unknown())
    {
        return unknown_answer(reason + "; journal is not available",
                              retry_soon);
    }
    return recorded(response.current(), response.reason());
}

wire::forwarded_answer single_run::settle_unknown(const std::string& reason)
{
    // The answer is the same when this record is lost: a resend finds the id
    // started.
    decide(wire::request_unknown, reason);
    return finished(unknown_answer(reason, retry_soon), state_, "");
}

wire::forwarded_answer single_run::settle_done(const upstream_answer& answer,
                                               const std::string& upstream)
{
    auto record = record_;
    record.set_phase(wire::request_done);
    record.set_status(answer.status);
    record.set_content_type(answer.content_type);
    record.set_answer(answer.body);
    for (int tries = 1;; ++tries)
    {
        const auto response = context_.decide(record);
        if (response.applied())
        {
            return finished(done_answer(answer), state_, upstream);
        }
        if (!response.unknown())
        {
            return recorded(response.current(), response.reason());
        }
        if (tries >= least_done_tries &&
            context_.timers.now() >= state_.deadline)
        {
            break;
        }
        std::this_thread::sleep_for(journal_retry_interval);
    }
    context_.counters.add("answers_not_journaled_total");
    return finished(unknown_answer("answer could not be journaled", retry_soon),
                    state_, upstream);
}

// Returns the outcome of a record that was there before. A request that another
// dispatcher has started is waited for.
wire::forwarded_answer single_run::recorded(wire::request_record current,
                                            const std::string& reason)
{
    const auto give_up =
        std::min(state_.deadline, context_.timers.now() + started_wait);
    while (true)
    {
        if (!current.body_hash().empty() &&
            current.body_hash() != record_.body_hash())
        {
            return refused_answer(status_conflict,
                                  "id was used with other content");
        }
        switch (current.phase())
        {
        case wire::request_done:
            return done_answer(current);
        case wire::request_not_run:
            return not_run_answer(current.reason(), milliseconds(0));
        case wire::request_unknown:
            return unknown_answer(current.reason(), retry_soon);
        case wire::request_started:
            break;
        default:
            return unknown_answer(reason.empty() ? "no record" : reason,
                                  retry_soon);
        }
        if (context_.timers.now() >= give_up)
        {
            return unknown_answer("started earlier, no answer yet", retry_soon);
        }
        std::this_thread::sleep_for(journal_retry_interval);
        // No transition leads to `absent`, so this only reads the record.
        const auto response = decide(wire::request_absent, "");
        if (response.unknown())
        {
            return unknown_answer("journal is not available", retry_soon);
        }
        current = response.current();
    }
}

} // namespace

wire::forwarded_answer run_once(const wire::forwarded_request& request,
                                const run_context& context)
{
    return single_run(request, context).go();
}

} // namespace limpetstack

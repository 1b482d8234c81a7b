#include "coordination/dispatcher.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "coordination/dispatcher_run.hpp"
#include "coordination/request_answers.hpp"
#include "coordination/service_queue.hpp"

#include <algorithm>
#include <utility>

namespace limpetstack
{
namespace
{

// Bounds how late an expiry in a queue or a changed upstream is noticed.
constexpr milliseconds tick_interval{20};

// Time for the journal to record an outcome that falls due at the deadline.
constexpr milliseconds settle_time{1000};

constexpr milliseconds retry_soon{100};
constexpr milliseconds retry_later{1000};

} // namespace

/// A non-idempotent request in progress. Resends of its id wait for it.
struct dispatcher::flight
{
    wire::forwarded_request request;
    std::string hash;
    std::shared_ptr<service_queue> queue;

    std::mutex mutex;
    std::condition_variable changed;
    bool finished = false;
    std::string sent_to; // Upstream that an attempt runs on.
    wire::forwarded_answer answer;
};

struct dispatcher::shard
{
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<service_queue>> queues;
    std::map<std::string, std::shared_ptr<flight>> flights; // By request id.
};

dispatcher::dispatcher(const settings& own, const registry& state,
                       upstream_caller& caller, timer_service& timers,
                       metrics& counters, document_function document_in_force,
                       decide_function decide, evacuated_function evacuated)
    : settings_(own)
    , registry_(state)
    , caller_(caller)
    , timers_(timers)
    , metrics_(counters)
    , document_(std::move(document_in_force))
    , decide_(std::move(decide))
    , evacuated_(std::move(evacuated))
    , shards_(std::make_unique<std::array<shard, shard_count>>())
{
}

dispatcher::~dispatcher()
{
    stop();
}

void dispatcher::start()
{
    subscription_ = timers_.every(
        tick_interval,
        [this](time_point now)
        {
            for (auto& part : *shards_)
            {
                std::vector<std::shared_ptr<service_queue>> queues;
                {
                    const std::lock_guard lock(part.mutex);
                    for (const auto& item : part.queues)
                    {
                        queues.push_back(item.second);
                    }
                }
                for (const auto& queue : queues)
                {
                    queue->tick(now);
                }
            }
        });
}

dispatcher::shard& dispatcher::shard_of(const std::string& service) const
{
    return (*shards_)[std::hash<std::string>{}(service) % shard_count];
}

std::shared_ptr<service_queue> dispatcher::queue_of(const std::string& service)
{
    auto& part = shard_of(service);
    const std::lock_guard lock(part.mutex);
    auto& out = part.queues[service];
    if (!out)
    {
        out = std::make_shared<service_queue>(
            service, settings_.data_centre, settings_.limits.queue_length,
            registry_, timers_, metrics_, evacuated_);
    }
    return out;
}

bool dispatcher::enter(bool joins)
{
    const std::lock_guard lock(mutex_);
    if (draining_ && !joins)
    {
        return false;
    }
    ++in_progress_;
    return true;
}

void dispatcher::leave()
{
    const std::lock_guard lock(mutex_);
    --in_progress_;
    idle_.notify_all();
}

std::size_t dispatcher::in_progress() const
{
    const std::lock_guard lock(mutex_);
    return in_progress_;
}

void dispatcher::drain()
{
    const std::lock_guard lock(mutex_);
    draining_ = true;
}

void dispatcher::stop()
{
    drain();
    std::map<std::uint64_t, std::thread> threads;
    {
        std::unique_lock lock(mutex_);
        idle_.wait(lock,
                   [this]
                   {
                       return in_progress_ == 0;
                   });
        threads.swap(threads_);
    }
    for (auto& item : threads)
    {
        item.second.join();
    }
    subscription_.reset();
}

wire::forwarded_answer
dispatcher::dispatch(const wire::forwarded_request& request)
{
    return request.idempotent() ? dispatch_idempotent(request)
                                : dispatch_once(request);
}

namespace
{

// Fills in what the document says about the request's account and service.
void apply_document(const document* source,
                    const wire::forwarded_request& request,
                    run_context& context)
{
    const auto* const account =
        source != nullptr ? find_account(*source, request.account()) : nullptr;
    const auto* const kind = account != nullptr
                                 ? find_service(*account, request.service())
                                 : nullptr;
    if (kind != nullptr)
    {
        context.weight = std::max<std::uint32_t>(1, account->weight);
        context.max_attempts = std::max<std::uint32_t>(1, kind->max_attempts);
        context.late_window = kind->timeout;
    }
}

wire::forwarded_answer stopping_answer(bool idempotent)
{
    return turned_away_answer(idempotent, reason_dispatcher_stopping,
                              retry_soon);
}

} // namespace

wire::forwarded_answer
dispatcher::dispatch_idempotent(const wire::forwarded_request& request)
{
    if (!enter(false))
    {
        return stopping_answer(true);
    }
    const auto queue = queue_of(request.service());
    run_context context{*queue, caller_, timers_, metrics_, decide_,
                        1,      1,       {},      {}};
    const auto source = document_();
    apply_document(source.get(), request, context);
    auto out = run_idempotent(request, context);
    leave();
    return out;
}

wire::forwarded_answer
dispatcher::dispatch_once(const wire::forwarded_request& request)
{
    const auto hash = request_hash(request);
    const auto queue = queue_of(request.service());
    auto& part = shard_of(request.service());
    std::shared_ptr<flight> subject;
    bool first = false;
    {
        const std::lock_guard lock(part.mutex);
        const auto found = part.flights.find(request.id());
        first = found == part.flights.end();
        if (!enter(!first))
        {
            return stopping_answer(false);
        }
        if (first)
        {
            subject = std::make_shared<flight>();
            subject->request = request;
            subject->hash = hash;
            subject->queue = queue;
            part.flights.emplace(request.id(), subject);
        }
        else
        {
            subject = found->second;
        }
    }
    if (first)
    {
        start_thread(subject);
    }
    else
    {
        metrics_.add("requests_joined_total");
    }
    auto out =
        subject->hash == hash
            ? wait_for(*subject, milliseconds(request.deadline_ms()), first)
            : refused_answer(status_conflict,
                             "id is in use with other content");
    leave();
    return out;
}

// Each flight has its own thread, so that its outcome is journaled even when
// it falls due after the callers have gone.
void dispatcher::start_thread(const std::shared_ptr<flight>& subject)
{
    std::vector<std::thread> done;
    {
        const std::lock_guard lock(mutex_);
        for (const auto id : finished_)
        {
            const auto found = threads_.find(id);
            if (found != threads_.end())
            {
                done.push_back(std::move(found->second));
                threads_.erase(found);
            }
        }
        finished_.clear();
        ++in_progress_;
        const auto id = next_thread_++;
        threads_.emplace(id, std::thread(
                                 [this, subject, id]
                                 {
                                     fly(subject);
                                     const std::lock_guard inner(mutex_);
                                     finished_.push_back(id);
                                     --in_progress_;
                                     idle_.notify_all();
                                 }));
    }
    for (auto& thread : done)
    {
        thread.join();
    }
}

void dispatcher::fly(const std::shared_ptr<flight>& subject)
{
    const auto& request = subject->request;
    run_context context{*subject->queue,
                        caller_,
                        timers_,
                        metrics_,
                        decide_,
                        1,
                        1,
                        {},
                        [&](const std::string& upstream)
                        {
                            const std::lock_guard lock(subject->mutex);
                            subject->sent_to = upstream;
                            subject->changed.notify_all();
                        }};
    const auto source = document_();
    apply_document(source.get(), request, context);
    auto answer = run_once(request, context);
    auto& part = shard_of(request.service());
    {
        const std::lock_guard lock(part.mutex);
        part.flights.erase(request.id());
    }
    const std::lock_guard lock(subject->mutex);
    subject->answer = std::move(answer);
    subject->finished = true;
    subject->changed.notify_all();
}

wire::forwarded_answer dispatcher::wait_for(flight& subject, milliseconds time,
                                            bool first)
{
    std::unique_lock lock(subject.mutex);
    const auto deadline = steady_now() + time;
    const auto ended = [&]
    {
        return subject.finished;
    };
    if (subject.changed.wait_until(lock, deadline, ended))
    {
        return subject.answer;
    }
    if (first && !subject.sent_to.empty())
    {
        subject.queue->overdue(subject.sent_to);
    }
    // An attempt that still runs does not end soon; anything else does.
    subject.changed.wait_until(lock, deadline + settle_time,
                               [&]
                               {
                                   return subject.finished ||
                                          !subject.sent_to.empty();
                               });
    if (subject.finished)
    {
        return subject.answer;
    }
    metrics_.add("requests_overdue_total");
    return unknown_answer("no answer before the deadline", retry_later);
}

} // namespace limpetstack

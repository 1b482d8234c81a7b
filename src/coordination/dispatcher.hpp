#pragma once

#include "base/timer_service.hpp"
#include "limpetstack/document.hpp"
#include "limpetstack/settings.hpp"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace limpetstack::wire
{
class forwarded_answer;
class forwarded_request;
class request_record;
class transition_response;
} // namespace limpetstack::wire

namespace limpetstack
{

class metrics;
class registry;
class service_queue;
class upstream_caller;

/// Runs the requests of the services that this host dispatches in its data
/// centre. Non-idempotent requests run under records of the home data centre's
/// journal, so two dispatchers of one service never run the same id twice.
/// Calls may come from several threads.
class dispatcher
{
public:
    /// Makes a transition of a request's record durable at the home data
    /// centre's owner; blocks until then. `unknown` in the response means that
    /// the outcome is not known.
    using decide_function =
        std::function<wire::transition_response(const wire::request_record&)>;

    /// Returns the document in force, null when there is none.
    using document_function = std::function<std::shared_ptr<const document>()>;

    /// Returns true while this host's data centre is evacuated.
    using evacuated_function = std::function<bool()>;

    dispatcher(const settings& own, const registry& state,
               upstream_caller& caller, timer_service& timers,
               metrics& counters, document_function document_in_force,
               decide_function decide, evacuated_function evacuated = {});
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Subscribes to the timers.
    void start();

    /// Blocks until the request has an outcome.
    wire::forwarded_answer dispatch(const wire::forwarded_request& request);

    /// Refuses new requests from here on, so that entry hosts turn to the next
    /// dispatcher. Requests that were taken before are finished.
    void drain();

    /// Drains and waits for the requests in progress.
    void stop();

    std::size_t in_progress() const;

private:
    struct flight;
    struct shard;

    static constexpr std::size_t shard_count = 16;

    shard& shard_of(const std::string& service) const;
    std::shared_ptr<service_queue> queue_of(const std::string& service);
    bool enter(bool joins);
    void leave();
    wire::forwarded_answer
    dispatch_idempotent(const wire::forwarded_request& request);
    wire::forwarded_answer
    dispatch_once(const wire::forwarded_request& request);
    void fly(const std::shared_ptr<flight>& subject);
    wire::forwarded_answer wait_for(flight& subject, milliseconds time,
                                    bool first);
    void start_thread(const std::shared_ptr<flight>& subject);

    const settings settings_;
    const registry& registry_;
    upstream_caller& caller_;
    timer_service& timers_;
    metrics& metrics_;
    document_function document_;
    decide_function decide_;
    evacuated_function evacuated_;

    std::unique_ptr<std::array<shard, shard_count>> shards_;

    mutable std::mutex mutex_;
    std::condition_variable idle_;
    std::size_t in_progress_ = 0;
    bool draining_ = false;
    std::map<std::uint64_t, std::thread> threads_; // One per flight.
    std::vector<std::uint64_t> finished_;
    std::uint64_t next_thread_ = 1;

    timer_subscription subscription_;
};

} // namespace limpetstack

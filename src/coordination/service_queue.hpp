#pragma once

#include "base/clock.hpp"
#include "coordination/fair_queue.hpp"
#include "coordination/retry_budget.hpp"
#include "coordination/upstream_health.hpp"
#include "peer.pb.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace limpetstack
{

class metrics;
class registry;
class timer_service;

/// A request that asks for a slot of an upstream.
struct slot_request
{
    std::string account;
    std::string caller;
    std::uint32_t weight = 1;
    time_point deadline;
    std::set<std::string> tried; // Upstreams that are chosen last.
    bool again = false;          // It had a slot before and is served first.
};

enum class slot_outcome
{
    granted,
    expired,   // The deadline passed in the queue.
    displaced, // The queue is full.
    hopeless,  // The deadline can not be met.
    evacuated  // The data centre is evacuated.
};

/// An upstream on which the request holds a slot, or why it has none.
struct slot_grant
{
    slot_outcome outcome = slot_outcome::expired;
    std::shared_ptr<const wire::upstream_entry> upstream;
    milliseconds retry_after{0};
};

enum class slot_use
{
    answered,    // With a whole answer.
    failed,      // Broken, or an answer that reports a server error.
    turned_away, // The upstream refused the attempt or could not be reached.
    unused       // Nothing was tried.
};

/// Slots and queue of one service in one data centre. An upstream never has
/// more requests than slots, and one that is leaving gets none. Calls may come
/// from several threads.
class service_queue
{
public:
    /// `evacuated` says whether the data centre is evacuated, empty: never.
    /// Meanwhile no slot is granted and what waits is turned away.
    service_queue(std::string service, std::string data_centre,
                  std::size_t length, const registry& state,
                  timer_service& timers, metrics& counters,
                  std::function<bool()> evacuated = {});
    ~service_queue();
    service_queue(const service_queue&) = delete;
    service_queue& operator=(const service_queue&) = delete;

    /// Blocks until the request has a slot or can not get one.
    slot_grant acquire(const slot_request& request);

    /// Returns the slot of a granted request.
    void release(const slot_request& request, const std::string& upstream,
                 slot_use use, milliseconds elapsed);

    /// Records that an attempt is overdue while its slot is still held.
    void overdue(const std::string& upstream);

    /// Takes one retry out of the budget; false when none is left.
    bool withdraw_retry();

    /// Ends waits whose deadline has passed and follows the registry.
    void tick(time_point now);

    std::size_t waiting() const;
    std::uint32_t in_use(const std::string& upstream) const;

private:
    struct waiter;

    struct slots
    {
        std::shared_ptr<const wire::upstream_entry> entry; // Null: not ready.
        std::uint32_t in_use = 0;
        std::uint32_t turned_away_in_row = 0;
        time_point hold_until{};
    };

    bool evacuated() const { return evacuated_ && evacuated_(); }
    void turn_away_all();
    void refresh();
    void pump(time_point now);
    bool serve_again(time_point now);
    slots* choose(const std::set<std::string>& tried, time_point now);
    bool usable(const slots& candidate, time_point now) const;
    void grant(waiter& to, slots& from);
    static void finish(waiter& subject, slot_outcome outcome,
                       milliseconds retry_after);
    std::uint32_t total_slots() const;
    static std::uint32_t capacity(const slots& subject);

    const std::string service_;
    const std::string data_centre_;
    const registry& registry_;
    timer_service& timers_;
    metrics& metrics_;
    const std::function<bool()> evacuated_;

    mutable std::mutex mutex_;
    fair_queue queue_;
    upstream_health health_;
    retry_budget budget_;
    std::map<std::string, slots> upstreams_;
    std::map<std::uint64_t, waiter*> waiters_;
    std::list<std::uint64_t> again_;
    std::uint64_t next_ticket_ = 1;
    std::uint64_t seen_version_ = 0;
    bool seen_any_ = false;
    std::size_t rotation_ = 0;
};

} // namespace limpetstack

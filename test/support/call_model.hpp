#pragma once

#include "base/metrics.hpp"
#include "coordination/fleet/call_forwarder.hpp"
#include "coordination/fleet/fleet_service.hpp"
#include "protocol/external_protocol.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{

struct modelled_core_host;

/// Random histories of one entry host and three core hosts. The forwarder, the
/// fence and the service are those of the daemon; the consensus protocol and
/// the network are replaced: leaders are frozen and replaced at any moment, a
/// new leader keeps some of the entries that the last one had not committed,
/// and connections break, after which what was sent on them arrives late or
/// never. Meanwhile documents add and take away the callers' key and queue. Not
/// modelled: restarts, snapshots, earlier versions and a full log.
class call_model
{
public:
    call_model(const external_protocol& protocol, unsigned seed);
    ~call_model();
    call_model(const call_model&) = delete;
    call_model& operator=(const call_model&) = delete;

    /// Runs `events` random events, ends all faults and delivers everything.
    void run(int events);

    /// Returns the answers that turned out to be wrong.
    std::vector<std::string> violations() const;

    /// Returns the number of refusals of calls with a sending of unknown
    /// outcome.
    std::uint64_t refusals_after_unknown() const;

    /// Returns the number of sendings that arrived too late to be carried out.
    std::uint64_t superseded() const;

private:
    // One connection of the entry host to a core host.
    struct link
    {
        std::size_t host = 0;
        std::deque<forwarded_call> calls;
        // Answers, and statuses as the term of a leadership or 0.
        std::deque<std::pair<std::optional<forwarded_answer>, std::uint64_t>>
            answers;
    };

    struct caller_record
    {
        std::string method;
        std::string job;
        std::optional<unsigned> status;
    };

    void make_event();
    void settle();
    void call();
    void deliver_call(const std::shared_ptr<link>& from);
    void deliver_answer(link& from);
    void lose_link(std::size_t host);
    void elect(std::size_t host);
    void commit(std::size_t count);
    void notice(modelled_core_host& host);
    void confirm_reads(modelled_core_host& host);
    apply_result apply_next(modelled_core_host& host);
    void catch_up(modelled_core_host& host);
    void change_document();
    void report_status(std::size_t host);
    fleet_service_dependencies dependencies(modelled_core_host& host);
    bool chance(unsigned percent) { return random_() % 100 < percent; }
    std::shared_ptr<link> random_link();

    const external_protocol& protocol_;
    std::mt19937 random_;
    metrics counters_;
    time_point now_{milliseconds(1000)};
    std::vector<std::unique_ptr<modelled_core_host>> hosts_;
    std::vector<std::shared_ptr<link>> current_links_; // By core host.
    std::vector<std::shared_ptr<link>> lost_links_;    // With calls under way.
    std::vector<fleet_command> committed_;
    std::uint64_t term_ = 0;
    std::size_t leader_ = 0; // Of `term_`.
    std::uint64_t version_ = 0;
    std::vector<caller_record> records_;
    std::set<std::string> cancelled_; // Jobs that a caller has cancelled.
    call_forwarder forwarder_;
};

} // namespace limpetstack::fleet

#pragma once

#include "fleet.pb.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetstack::fleet
{

/// A queue's policy: a service decides which workers may run each step.
struct ticket_policy
{
    std::int64_t decision_ms = 0;   // Fixed part of the time of an answer.
    std::int64_t per_worker_ms = 0; // Added for each worker that is named.
    std::int64_t valid_ms = 0;      // How long a ticket may be used.
};

/// A queue of jobs. Callers select it by host and path prefix.
struct queue_config
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    std::int64_t priority = 0; // 0 is the most urgent.
    std::uint32_t attempts = 1;
    double stretch = 1;                  // Objective as a multiple of the work.
    std::int64_t allowance_ms = 0;       // Added to the objective.
    std::int64_t timeout_ms = 0;         // Of one call.
    bool public_access = false;          // Callers need no key.
    std::optional<ticket_policy> policy; // Nothing: any worker will do.
};

struct service_config
{
    std::string name;
};

struct account_config
{
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteed_accelerators = 0;
};

/// Bounds on what one caller's connection may use.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16384;
    std::uint32_t max_body_bytes = 262144;
    std::uint32_t header_timeout_ms = 3000;
    std::uint32_t idle_timeout_ms = 15000;
};

struct fleet_document
{
    std::uint64_t version = 0;
    std::vector<queue_config> queues;
    std::map<std::string, service_config> services;
    std::vector<account_config> accounts;
    std::map<std::string, std::string> account_of_key;
    caller_limits limits;
};

/// A worker's report about itself.
struct worker_report
{
    worker_record worker;
    std::uint64_t sequence = 0;
    std::int64_t worker_time_ms = 0; // The worker's steady clock when sent.
};

/// A run that a worker lists as present.
struct listed_run
{
    run_ref run;
    std::string checkpoint;
    int percent = 0;
};

/// A run that a worker lists as ended.
struct listed_end
{
    std::uint64_t number = 0; // Rises from 1 within an incarnation.
    run_ref run;
    run_end end = run_failed;
    std::string checkpoint;
};

struct worker_lists
{
    std::int64_t worker_time_ms = 0;
    std::int64_t born_ms = 0; // 0 when the worker did not say.
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
};

/// How a worker took an order.
enum class order_result
{
    accepted,
    newer_epoch, // The worker has seen a higher epoch.
    old_run,     // This run, or a later one, ended or was stopped there.
    expired,     // The order's lease was over on arrival.
    no_capacity,
    bad_ticket,
    invalid,
    unhealthy,    // It did nothing.
    other_worker, // Another incarnation answered.
    unknown       // It may have been carried out, or may be later.
};

/// Returns the result's name for log lines.
const char* name_of(order_result result);

struct order_answer
{
    order_result result = order_result::unknown;
    std::int64_t worker_time_ms = 0; // 0 when the answer holds none.
};

/// An HTTP request to a worker or to another outside system.
struct outgoing_call
{
    std::string method;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

struct start_order
{
    run_ref run;
    std::string worker;
    std::string payload;
    std::int64_t lease_end_ms = 0; // On the worker's clock.
    std::uint64_t epoch = 0;
    std::string checkpoint;
    std::string ticket; // Of the queue's policy; empty without one.
};

/// Asks which of some workers may run a step.
struct policy_question
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::string> workers;
};

/// A worker that may run the step, and the ticket that shows it.
struct policy_ticket
{
    std::string worker;
    std::string ticket;
};

struct hold_order
{
    std::string worker;
    std::uint64_t epoch = 0;
    std::uint64_t last_recorded_end = 0;
    std::optional<std::int64_t>
        lease_end_ms; // Nothing: the lease stays as it is.
    std::int64_t wait_limit_ms = 0;
};

/// What a call on the control interface asks for.
enum class control_request
{
    report_worker,
    remove_worker,
    put_document,
    get_document,
    maintain_machines, // Not supported.
    unknown
};

struct control_target
{
    control_request kind = control_request::unknown;
    std::string id; // Of a worker.
};

enum class job_phase
{
    queued,
    running,
    complete,
    failed,
    cancelled
};

/// The formats that outside parties speak. Implementations decode and encode
/// only. Decoding errors are kInvalidArgument with the field's name.
class external_protocol
{
public:
    virtual ~external_protocol() = default;

    virtual absl::StatusOr<fleet_document>
    decode_document(std::string_view body) const = 0;
    virtual absl::StatusOr<job_spec>
    decode_job(std::string_view body) const = 0;
    virtual absl::StatusOr<worker_report>
    decode_report(const std::string& id, std::string_view body) const = 0;
    virtual control_target decode_target(std::string_view method,
                                         std::string_view target) const = 0;
    /// Returns the key of an authorization header, empty when there is none.
    virtual std::string decode_key(std::string_view authorization) const = 0;
    virtual bool is_job_id(std::string_view text) const = 0;

    virtual std::string encode_phase(job_phase phase) const = 0;
    virtual std::string encode_pending(std::uint64_t jobs) const = 0;
    virtual std::string
    encode_report_answer(const std::string& address) const = 0;
    virtual std::string encode_error(std::string_view message) const = 0;

    virtual outgoing_call encode_start(const start_order& order) const = 0;
    virtual outgoing_call encode_stop(const run_ref& run,
                                      const std::string& worker,
                                      std::uint64_t epoch) const = 0;
    virtual outgoing_call encode_hold(const hold_order& order) const = 0;
    virtual outgoing_call
    encode_question(const policy_question& question) const = 0;

    virtual order_answer decode_order(unsigned status,
                                      std::string_view body) const = 0;
    virtual absl::StatusOr<worker_lists>
    decode_lists(std::string_view body) const = 0;
    virtual absl::StatusOr<std::vector<policy_ticket>>
    decode_tickets(std::string_view body) const = 0;
};

} // namespace limpetstack::fleet

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

/// The policy of a queue whose steps need tickets: the policy service decides
/// which workers may run each step.
struct ticket_policy
{
    std::int64_t decision_ms = 0;   // Fixed part of the time to an answer.
    std::int64_t per_worker_ms = 0; // Added for each worker in the question.
    std::int64_t valid_ms = 0;      // How long a ticket may be used.
};

/// A queue of jobs. Callers select it by the host name and the path prefix of
/// their request.
struct queue_config
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string service;
    std::int64_t priority = 0;  // 0 is the most urgent.
    std::uint32_t attempts = 1; // Failed runs of a subtask before it fails.
    // A job's objective for its duration is `stretch` times the duration of
    // its work, plus `allowance_ms`.
    double stretch = 1;
    std::int64_t allowance_ms = 0;
    std::int64_t timeout_ms = 0;         // Wait limit of one caller's request.
    bool public_access = false;          // Callers need no key.
    std::optional<ticket_policy> policy; // Without it any worker may run steps.
};

/// A service that queues may name.
struct service_config
{
    std::string name;
};

/// A client account, its keys and its guaranteed capacity.
struct account_config
{
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteed_accelerators = 0;
};

/// Limits on the size and the duration of requests on one caller's connection.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16384;
    std::uint32_t max_body_bytes = 262144;
    std::uint32_t header_timeout_ms = 3000;
    std::uint32_t idle_timeout_ms = 15000;
};

/// The operator's configuration of the whole deployment.
struct fleet_document
{
    std::uint64_t version = 0;
    std::vector<queue_config> queues;
    std::map<std::string, service_config> services; // By service name.
    std::vector<account_config> accounts;
    std::map<std::string, std::string> account_of_key; // Account name by key.
    caller_limits limits;
};

/// A worker's report about itself.
struct worker_report
{
    worker_record worker;
    std::uint64_t sequence = 0;
    std::int64_t worker_time_ms = 0; // Worker's steady clock at sending.
    // How much longer the worker remains slow after its start.
    std::int64_t warm_up_left_ms = 0;
};

/// A run that a worker lists as running.
struct listed_run
{
    run_ref run;
    std::string checkpoint; // The latest one; empty without one.
    int percent = 0;        // Progress of the run.
    // A rough figure for the last half second: the tail of the response times
    // in ms of a run that serves users, the processor use in thousandths of a
    // core of any other run. Empty when the worker lists none.
    std::optional<double> recent_figure;
};

/// A run that a worker lists as ended.
struct listed_end
{
    std::uint64_t number = 0; // Counts ends from 1 in each incarnation.
    run_ref run;
    run_end end = run_failed;
    std::string checkpoint;
};

/// The runs of one worker, as it lists them in an answer.
struct worker_lists
{
    std::int64_t worker_time_ms = 0; // Worker's steady clock.
    std::int64_t born_ms = 0; // Start of the incarnation; 0 when not given.
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
};

/// A worker's response to an order.
enum class order_result
{
    accepted,
    newer_epoch,  // Refused: the worker has seen a higher epoch.
    old_run,      // Refused: this run, or a later one, ended or was stopped.
    expired,      // Refused: the lease of the order had ended on arrival.
    no_capacity,  // Refused: the worker has too little free capacity.
    bad_ticket,   // Refused: the ticket is missing or not valid.
    invalid,      // Refused: the order is malformed.
    unhealthy,    // Refused: worker overloaded or unavailable.
    other_worker, // Refused: another incarnation is at the worker's address.
    unknown       // The order may have been carried out, or may be later.
};

/// Returns the name of `result` as it appears in log lines.
const char* name_of(order_result result);

/// A worker's answer to an order to start or stop a run.
struct order_answer
{
    order_result result = order_result::unknown;
    std::int64_t worker_time_ms = 0; // Worker's steady clock; 0: not given.
    // The order may have been sent over a connection that was opened for it:
    // also to a process that began after the last answer.
    bool on_new_connection = false;
    // The worker has no such order. The result is `unknown` then.
    bool not_supported = false;
};

/// An HTTP request to a worker or to the policy service.
struct outgoing_call
{
    std::string method;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// An order to a worker to start a run.
struct start_order
{
    run_ref run;
    std::string worker; // Worker id.
    std::string payload;
    std::int64_t lease_end_ms = 0; // On the worker's steady clock.
    std::uint64_t epoch = 0;       // Epoch of the leader that sends the order.
    std::string checkpoint;        // To continue from; empty: from the start.
    std::string ticket; // From the policy service; empty without a policy.
};

/// An order to a worker to let a run work at a share of its speed. A run begins
/// with 100 percent.
struct pace_order
{
    run_ref run;
    std::string worker; // Worker id.
    int percent = 100;
    std::uint64_t epoch = 0; // Epoch of the leader that sends the order.
};

/// Asks the policy service which of `workers` may run a step.
struct policy_question
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::string> workers; // Worker ids.
};

/// A worker that may run the step, and the ticket that proves it.
struct policy_ticket
{
    std::string worker;
    std::string ticket;
};

/// Renews a worker's lease, acknowledges ends of runs and asks for the worker's
/// lists.
struct hold_order
{
    std::string worker;
    std::uint64_t epoch = 0; // Epoch of the leader that sends the order.
    // The worker may forget the ends up to this number.
    std::uint64_t last_recorded_end = 0;
    // New end of the lease, on the worker's steady clock. Without a value the
    // lease stays as it is.
    std::optional<std::int64_t> lease_end_ms;
    // The worker may delay its answer for this long while no run ends. 0: it
    // answers at once.
    std::int64_t wait_limit_ms = 0;
};

/// What a request on the control interface asks for.
enum class control_request
{
    report_worker,
    remove_worker,
    put_document,
    get_document,
    start_evacuation,
    end_evacuation,
    maintain_machines, // Not supported; the request is refused.
    invalid,           // Names something that can not exist.
    unknown
};

/// A decoded method and path of a request on the control interface.
struct control_target
{
    control_request kind = control_request::unknown;
    // Worker id, or name of a data centre; empty for requests about other
    // things.
    std::string id;
};

/// The state of a job that its caller is told.
enum class job_phase
{
    queued,
    running,
    complete,
    failed,
    cancelled
};

/// Encodes and decodes the messages that the system exchanges with callers,
/// workers, the operator and the policy service. Implementations hold no state
/// and do no input or output. Errors of decoding are kInvalidArgument with the
/// name of the field.
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
    /// Returns the key in the value of an authorization header. Empty when the
    /// header holds no key.
    virtual std::string decode_key(std::string_view authorization) const = 0;
    virtual bool is_job_id(std::string_view text) const = 0;

    /// Encodes the state of a job. `reason` says why a failed job was given up;
    /// it is left out when empty.
    virtual std::string encode_job(job_phase phase,
                                   std::string_view reason) const = 0;
    /// Encodes the number of jobs of a queue that have not started.
    virtual std::string encode_pending(std::uint64_t jobs) const = 0;
    /// Encodes the answer to a worker's report. `address` is where the worker
    /// sends its next reports; when empty, it changes nothing.
    virtual std::string
    encode_report_answer(const std::string& address) const = 0;
    virtual std::string encode_error(std::string_view message) const = 0;

    virtual outgoing_call encode_start(const start_order& order) const = 0;
    virtual outgoing_call encode_stop(const run_ref& run,
                                      const std::string& worker,
                                      std::uint64_t epoch) const = 0;
    virtual outgoing_call encode_hold(const hold_order& order) const = 0;
    virtual outgoing_call encode_pace(const pace_order& order) const = 0;
    virtual outgoing_call
    encode_question(const policy_question& question) const = 0;

    /// Decodes a worker's answer to an order from its HTTP status and body.
    virtual order_answer decode_order(unsigned status,
                                      std::string_view body) const = 0;
    virtual absl::StatusOr<worker_lists>
    decode_lists(std::string_view body) const = 0;
    virtual absl::StatusOr<std::vector<policy_ticket>>
    decode_tickets(std::string_view body) const = 0;
};

} // namespace limpetstack::fleet

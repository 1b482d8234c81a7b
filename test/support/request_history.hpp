#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace limpetstack::test
{

class deployment;

/// One call of a caller as the caller saw it.
struct request_call
{
    std::string id;
    std::string body;
    std::string outcome; // done, not_run, unknown, refused; empty: no answer.
    int status = 0;
    std::string answer;
};

/// One request as an upstream saw it.
struct request_run
{
    std::string id;
    std::string upstream;
    bool refused = false; // The upstream did not run it, and said so.
    bool leaving = false; // It came after the upstream had announced to leave.
};

/// Returns why calls and runs can not come from a system that answers every
/// request correctly once, empty when they can. `once` says that the service
/// is not idempotent: an id runs at most once, and a later call of an id that
/// is done hears the same answer. An upstream's answer carries the fields `id`
/// and `echo`, which must be those of the call's own request.
std::string check_requests(const std::vector<request_call>& calls,
                           const std::vector<request_run>& runs, bool once);

/// Calls a deployment and records what happened. Calls may come from several
/// threads.
class request_recorder
{
public:
    explicit request_recorder(const deployment& system);

    /// Returns a new request id from a host, empty when it has none.
    std::string new_id(const std::string& host) const;

    /// Sends one request through a host and records it.
    request_call send(const std::string& host, const std::string& service,
                      const std::string& id, const std::string& body,
                      const std::string& caller = "caller");

    std::vector<request_call> calls() const;

    /// Collects the runs of the named upstreams, which must be up.
    std::vector<request_run>
    runs(const std::vector<std::string>& upstreams) const;

private:
    const deployment& system_;
    mutable std::mutex mutex_;
    std::vector<request_call> calls_;
};

} // namespace limpetstack::test

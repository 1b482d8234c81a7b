#pragma once

#include "support/soak_worker.hpp"
#include "transport/http_channel.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// The callers of a soak test: they submit jobs, some of which are never done
/// and are cancelled later, and read their states.
class soak_jobs
{
public:
    using answer_handler = std::function<void(const http_channel_answer&)>;
    /// Sends a call to any entry host.
    using sender =
        std::function<void(const std::string& method, const std::string& target,
                           std::string body, const answer_handler& done)>;

    soak_jobs(soak_rules& rules, unsigned seed, sender send);

    /// Submits a random job.
    void submit();

    /// Submits a job of the largest size, whose gangs never fit. Does nothing
    /// when it was submitted before.
    void submit_large_job();

    /// Repeats calls whose outcome is unknown, cancels some of the endless jobs
    /// and asks for the states of open jobs.
    void poll();

    std::size_t accepted() const { return states_.size(); }
    std::size_t refused() const { return rules_.refused.size(); }

    /// Returns the accepted jobs that are not over, with their states.
    std::vector<std::string> open_jobs() const;

    /// Returns true when a run of a job that is never done is at work.
    bool has_run_of_endless_job() const;

    /// Returns true when no accepted job is open and no run is left.
    bool all_over() const;

private:
    void send_job(const std::string& id);
    void record_answer(const std::string& id, unsigned status);
    void cancel(const std::string& id);

    soak_rules& rules_;
    std::mt19937 random_;
    sender send_;
    std::map<std::string, std::string> states_; // Of accepted jobs, by id.
    std::map<std::string, std::string> bodies_; // Body of the call by job id.
    std::vector<std::string> resubmit_; // Jobs whose outcome is unknown.
    // Jobs of which the outcome of a call is not known, or was not.
    std::set<std::string> uncertain_;
    std::set<std::string> cancelled_; // Jobs whose cancelling was answered.
    unsigned long long last_job_ = 0;
};

} // namespace limpetstack::fleet

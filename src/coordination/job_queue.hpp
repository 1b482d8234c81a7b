#pragma once

#include "base/clock.hpp"
#include "limpetstack/placement.hpp"

#include <array>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace limpetstack
{

enum class urgency
{
    low,
    normal,
    urgent
};

constexpr std::size_t urgency_levels = 3;

struct queued_job
{
    std::string id;
    std::string account;
    std::string service;
    gang_shape shape;
    urgency level = urgency::normal;
    milliseconds declared{0}; // Run time as declared, 0: none.
    bool coverable = false;   // The account's guarantee covers the shape.
};

/// What the order of jobs depends on besides the jobs themselves.
struct account_standing
{
    double weight = 1;
    double share = 0;       // Fraction of the fleet, by weight.
    double used = 0;        // Fraction of the fleet, of the scarcest resource.
    bool unclaimed = false; // Some of its guarantee is not in use.
};

using standings = std::map<std::string, account_standing>;

/// Returns the fraction of the fleet that the gang takes of the resource it
/// takes most of.
double dominant_share(const gang_shape& shape, const resources& fleet);

/// Jobs that wait, by account and urgency, first come first served within
/// these. Insertion and removal take constant time, so that a wave of
/// cancellations costs no more than the jobs in it.
class job_queue
{
public:
    /// Adds a job at the end, or in front when it has been stopped and waits
    /// again. A job with the same id is replaced.
    void push(const queued_job& job, bool front);

    /// Removes the job; returns false when it is not queued.
    bool erase(const std::string& id);

    /// Returns the job or null.
    const queued_job* find(const std::string& id) const;

    /// Sets `coverable` of every job, after a change of the configuration.
    void update(const std::function<bool(const queued_job&)>& coverable);

    std::size_t size() const { return positions_.size(); }

private:
    friend class job_pass;
    using job_list = std::list<queued_job>;

    struct account_jobs
    {
        std::array<job_list, urgency_levels> by_level;
        std::list<std::string> coverable; // Ids.
        std::size_t count = 0;
    };

    struct position
    {
        std::string account;
        job_list::iterator at;
        std::list<std::string>::iterator coverable_at;
    };

    std::map<std::string, account_jobs> accounts_; // Only with jobs.
    std::unordered_map<std::string, position> positions_;
};

/// One walk over the queue in the order in which jobs should start:
/// - jobs inside an account's guarantee;
/// - urgent jobs of accounts that stay within their share; a flood of urgent
///   jobs beyond it counts as normal, so that it can not take the others';
/// - the other jobs, low urgency last.
/// Among accounts, the one that uses least for its weight is next.
class job_pass
{
public:
    job_pass(const job_queue& queue, const resources& fleet,
             standings& accounts);

    struct step
    {
        const queued_job* job = nullptr; // Null: the walk has ended.
        bool guaranteed = false; // To be tried inside the guarantee only.
    };

    /// Returns the next job. The caller may erase it, and no other, from the
    /// queue before the next call, and adds what it starts to `used`.
    step next();

private:
    struct cursor
    {
        const job_queue::account_jobs* jobs = nullptr;
        account_standing* standing = nullptr;
        std::size_t level = 0;
        job_queue::job_list::const_iterator at;
        std::list<std::string>::const_iterator coverable_at;
        std::size_t depth = 0;

        bool settle(const job_queue::account_jobs& jobs);
    };

    void begin_regular();
    int rank(const cursor& c) const;

    const job_queue& queue_;
    resources fleet_;
    standings& accounts_;
    std::vector<cursor> cursors_;
    bool regular_ = false; // The walk is past the guaranteed jobs.
};

/// Jobs of one account that a walk looks at after the first that does not
/// fit.
constexpr std::size_t pass_depth = 32;

} // namespace limpetstack

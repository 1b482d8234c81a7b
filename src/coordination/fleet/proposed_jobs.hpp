#pragma once

#include "state/job_holder.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace limpetstack::fleet
{

/// The jobs whose acceptance is proposed and whose outcome is not known yet,
/// with their costs. Not thread-safe.
class proposed_jobs
{
public:
    /// Adds a job, unless one with this id is proposed already.
    void add(const std::string& id, const job_holder& holder, std::size_t cost);

    /// Removes a job; no effect when it is not there.
    void remove(const std::string& id);

    bool contains(const std::string& id) const { return jobs_.count(id) > 0; }
    std::size_t cost() const { return cost_; }
    std::size_t cost(const job_holder& holder) const;

private:
    struct proposed_job
    {
        job_holder holder;
        std::size_t cost = 0;
    };

    std::map<std::string, proposed_job> jobs_; // By id.
    std::size_t cost_ = 0;
};

} // namespace limpetstack::fleet

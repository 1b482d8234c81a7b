#pragma once

#include "bench/placement/arrivals.hpp"
#include "coordination/job_scheduler.hpp"

#include <memory>
#include <string>
#include <vector>

namespace limpetstack::bench
{

/// What a scheduler under test is driven through.
class table
{
public:
    virtual ~table() = default;
    virtual void submit(const queued_job& job, bool front) = 0;
    virtual void finished(const std::string& id, milliseconds ran) = 0;
    virtual std::vector<start_decision> decide(time_point now) = 0;
    virtual const worker_index& workers() const = 0;
};

/// Returns a table that the product's scheduler decides on.
std::unique_ptr<table> make_policy_table(const profile& p,
                                         const scheduling_policy& policy);

/// Returns a table of first come first served with first fit. With `skip`,
/// later jobs may start while the first does not fit.
std::unique_ptr<table> make_plain_table(bool skip);

} // namespace limpetstack::bench

#include "bench/placement/tables.hpp"

#include <algorithm>
#include <list>
#include <map>
#include <optional>
#include <utility>

namespace limpetstack::bench
{
namespace
{

class policy_table : public table
{
public:
    policy_table(const profile& p, const scheduling_policy& policy)
        : scheduler_("dc1", policy)
    {
        scheduler_.configure(p.config);
        add_fleet(
            [this](const auto& worker)
            {
                scheduler_.put_worker(worker);
            },
            2);
    }

    void submit(const queued_job& job, bool front) override
    {
        scheduler_.submit(job, front);
    }
    void finished(const std::string& id, milliseconds ran) override
    {
        scheduler_.finished(id, ran.count() > 0
                                    ? std::optional<milliseconds>(ran)
                                    : std::nullopt);
    }
    std::vector<start_decision> decide(time_point now) override
    {
        return scheduler_.decide(now, 1000);
    }
    const worker_index& workers() const override
    {
        return scheduler_.workers();
    }

private:
    job_scheduler scheduler_;
};

/// First come first served with first fit. With `skip`, later jobs may start
/// while the first does not fit.
class plain_table : public table
{
public:
    explicit plain_table(bool skip)
        : skip_(skip)
    {
        add_fleet(
            [this](const auto& worker)
            {
                index_.put(worker);
                order_.push_back(worker.id);
            },
            2);
    }

    void submit(const queued_job& job, bool /*front*/) override
    {
        queue_.push_back(job);
    }

    void finished(const std::string& id, milliseconds /*ran*/) override
    {
        const auto& [placement, each] = running_.at(id);
        index_.give(placement, each);
        running_.erase(id);
    }

    std::vector<start_decision> decide(time_point /*now*/) override
    {
        std::vector<start_decision> result;
        for (auto at = queue_.begin(); at != queue_.end();)
        {
            auto placement = first_fit(at->shape);
            if (placement.empty())
            {
                if (!skip_)
                {
                    break;
                }
                ++at;
                continue;
            }
            index_.take(placement, at->shape.each);
            running_[at->id] = {placement, at->shape.each};
            result.push_back({at->id, std::move(placement), {}, false});
            at = queue_.erase(at);
        }
        return result;
    }

    const worker_index& workers() const override { return index_; }

private:
    gang_placement first_fit(const gang_shape& shape) const
    {
        gang_placement placement;
        std::string rack;
        for (const auto& worker : order_)
        {
            if (shape.placement == adjacency::rack &&
                index_.rack_of(worker) != rack)
            {
                rack = index_.rack_of(worker);
                placement.clear();
            }
            const auto room = fit_count(
                index_.free(worker).value_or(resources{}), shape.each);
            placement.insert(
                placement.end(),
                std::min<std::size_t>(room, shape.members - placement.size()),
                worker);
            if (placement.size() == shape.members)
            {
                return placement;
            }
        }
        return {};
    }

    bool skip_;
    worker_index index_;
    std::vector<std::string> order_;
    std::list<queued_job> queue_;
    std::map<std::string, std::pair<gang_placement, resources>> running_;
};

} // namespace

std::unique_ptr<table> make_policy_table(const profile& p,
                                         const scheduling_policy& policy)
{
    return std::make_unique<policy_table>(p, policy);
}

std::unique_ptr<table> make_plain_table(bool skip)
{
    return std::make_unique<plain_table>(skip);
}

} // namespace limpetstack::bench

#include "coordination/job_scheduler.hpp"

#include <algorithm>

namespace limpetstack
{

std::string job_scheduler::refusal(const gang_shape& shape) const
{
    if (shape.members == 0)
    {
        return "a job needs at least one member";
    }
    const auto runs = [this](const gang_shape& s)
    {
        return declared_.place(data_centre_, s, {}).has_value() ||
               capacity_.place(data_centre_, s, {}).has_value();
    };
    if (runs(shape))
    {
        return {};
    }
    auto one = shape;
    one.members = 1;
    if (!runs(one))
    {
        return "no worker of data centre " + data_centre_ + " has " +
               std::to_string(shape.each.accelerators) + " accelerators, " +
               std::to_string(shape.each.cores) + " cores and " +
               std::to_string(shape.each.memory_mib) + " MiB for one member";
    }
    if (shape.placement == adjacency::rack)
    {
        const auto most =
            std::max(declared_.largest_rack_gang(data_centre_, shape.each),
                     capacity_.largest_rack_gang(data_centre_, shape.each));
        return "no rack of data centre " + data_centre_ + " holds " +
               std::to_string(shape.members) + " such members; the most is " +
               std::to_string(most);
    }
    return "data centre " + data_centre_ + " does not hold " +
           std::to_string(shape.members) + " such members even when empty";
}

} // namespace limpetstack

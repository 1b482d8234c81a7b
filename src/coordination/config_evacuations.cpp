#include "base/log.hpp"
#include "base/metrics.hpp"
#include "coordination/config_distributor.hpp"

#include <utility>

namespace limpetstack
{

wire::evacuation_set config_distributor::evacuations() const
{
    const std::lock_guard lock(state_mutex_);
    return evacuations_;
}

bool config_distributor::evacuated(const std::string& data_centre) const
{
    const std::lock_guard lock(state_mutex_);
    return evacuated_.count(data_centre) > 0;
}

bool config_distributor::merge_evacuations(const wire::evacuation_set& offered)
{
    std::set<std::string> before;
    std::set<std::string> after;
    {
        const std::lock_guard lock(state_mutex_);
        if (offered.index() <= evacuations_.index())
        {
            return false;
        }
        evacuations_ = offered;
        for (const auto& entry : offered.evacuations())
        {
            after.insert(entry.data_centre());
        }
        before = std::exchange(evacuated_, after);
    }
    metrics_.set("evacuated_data_centres", static_cast<double>(after.size()));
    const auto report = [](const char* event, const std::set<std::string>& from,
                           const std::set<std::string>& without)
    {
        for (const auto& name : from)
        {
            if (without.count(name) == 0)
            {
                log_event(log_level::info, event, {{"data_centre", name}});
            }
        }
    };
    report("evacuation_in_force", after, before);
    report("evacuation_no_longer_in_force", before, after);
    return true;
}

} // namespace limpetstack

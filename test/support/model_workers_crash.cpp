// Crashes of simulated workers.
#include "support/model_workers.hpp"

#include <string>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds restart_time{3000};

} // namespace

void model_workers::crash(const std::string& id)
{
    if (!end_process(id))
    {
        return;
    }
    delayed_.push_back({fixture_.now + restart_time, [this, id]
                        {
                            auto record = workers_[id].record;
                            record.set_id(id + "+");
                            record.set_born_ms(record.born_ms() + 1);
                            begin_process(record.id(), record, {});
                            report(record.id());
                        }});
}

void model_workers::report_all()
{
    for (const auto& [id, worker] : workers_)
    {
        report(id);
    }
}

std::string model_workers::random_worker()
{
    std::vector<std::string> up;
    for (const auto& [id, worker] : workers_)
    {
        if (!worker.crashed)
        {
            up.push_back(id);
        }
    }
    return up.empty() ? workers_.begin()->first : up.at(random_() % up.size());
}

} // namespace limpetstack::fleet

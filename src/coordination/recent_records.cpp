#include "coordination/recent_records.hpp"

namespace limpetstack
{
namespace
{

constexpr std::size_t max_records = 4096;
constexpr std::size_t max_held_bytes = 4U << 20U;

journal_point point_of(const wire::journal_record& record)
{
    return {record.sequence(), record.epoch()};
}

} // namespace

void recent_records::reset(journal_point end)
{
    const std::lock_guard lock(mutex_);
    records_.clear();
    begin_ = end;
    end_ = end;
    bytes_ = 0;
}

void recent_records::push(const std::vector<wire::journal_record>& records)
{
    const std::lock_guard lock(mutex_);
    for (const auto& record : records)
    {
        records_.push_back(record);
        bytes_ += record.ByteSizeLong();
        end_ = point_of(record);
    }
    while (records_.size() > max_records || bytes_ > max_held_bytes)
    {
        begin_ = point_of(records_.front());
        bytes_ -= records_.front().ByteSizeLong();
        records_.pop_front();
    }
}

journal_point recent_records::end() const
{
    const std::lock_guard lock(mutex_);
    return end_;
}

bool recent_records::contains(journal_point point) const
{
    if (point.sequence < begin_.sequence || point.sequence > end_.sequence)
    {
        return false;
    }
    if (point.sequence == begin_.sequence)
    {
        return point == begin_;
    }
    return point_of(records_[point.sequence - begin_.sequence - 1]) == point;
}

bool recent_records::holds(journal_point point) const
{
    const std::lock_guard lock(mutex_);
    return contains(point);
}

std::optional<std::vector<wire::journal_record>>
recent_records::after(journal_point point, std::size_t max_bytes) const
{
    const std::lock_guard lock(mutex_);
    if (!contains(point))
    {
        return std::nullopt;
    }
    std::vector<wire::journal_record> result;
    std::size_t bytes = 0;
    for (auto i = point.sequence - begin_.sequence; i < records_.size(); ++i)
    {
        bytes += records_[i].ByteSizeLong();
        if (!result.empty() && bytes > max_bytes)
        {
            break;
        }
        result.push_back(records_[i]);
    }
    return result;
}

} // namespace limpetstack

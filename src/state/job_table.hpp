#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetstack::wire
{
class job_record;
} // namespace limpetstack::wire

namespace limpetstack
{

/// Returns whether a job in this state changes no more.
bool job_finished(const std::string& state);

/// The newest record of every job, serialized.
class job_table
{
public:
    struct entry
    {
        std::int64_t finished_ms = 0; // 0 while the job is not finished.
        std::string bytes;
    };

    void put(const wire::job_record& record);
    std::optional<wire::job_record> find(const std::string& id) const;
    std::vector<wire::job_record> all() const;

    /// Drops the jobs that finished before a time, in milliseconds since 1970.
    void drop_finished_before(std::int64_t time_ms);

    void visit(const std::function<void(const std::string&, const entry&)>&
                   action) const;

    /// Returns when the finished jobs finished, unsorted.
    std::vector<std::int64_t> finish_times() const;

    std::size_t size() const;
    std::size_t memory_bytes() const;
    void clear();

private:
    mutable std::mutex mutex_;
    std::unordered_map<std::string, entry> entries_;
    std::size_t bytes_ = 0;
};

} // namespace limpetstack

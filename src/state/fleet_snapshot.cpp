// Writes the fleet's replicated state to a snapshot and reads it back.
#include "state/fleet_state.hpp"
#include "state/worker_cost.hpp"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack::fleet
{
namespace
{

template <typename Ranges>
void save_ranges(const index_set& set, Ranges& ranges)
{
    for (const auto& [first, end] : set.ranges())
    {
        auto& range = *ranges.Add();
        range.set_first(first);
        range.set_end(end);
    }
}

template <typename Ranges>
index_set load_ranges(const Ranges& ranges)
{
    index_set set;
    for (const auto& range : ranges)
    {
        set.insert(range.first(), range.end());
    }
    return set;
}

void save_subtask(const subtask_state& subtask, subtask_snapshot& saved)
{
    saved.set_last_run(subtask.last_run);
    saved.set_failures(subtask.failures);
    for (const auto& crash : subtask.crashes)
    {
        auto& item = *saved.add_recorded_crashes();
        item.set_run(crash.run);
        item.set_worker(crash.worker);
        item.set_address(crash.address);
        item.set_at_ms(crash.at_ms);
        item.set_conclusive(crash.cause == crash_cause::sole);
        item.set_shared(crash.cause == crash_cause::shared);
    }
    saved.set_last_crashed_run(subtask.last_judged_run);
    saved.set_checkpoint(subtask.checkpoint);
    for (const auto& active : subtask.active)
    {
        auto& run = *saved.add_active();
        run.mutable_run()->set_run(active.run);
        run.set_worker(active.incarnation.worker);
        run.set_born_ms(active.incarnation.born_ms);
    }
}

subtask_state load_subtask(const subtask_snapshot& saved)
{
    subtask_state subtask;
    subtask.last_run = saved.last_run();
    subtask.failures = saved.failures();
    for (const auto& item : saved.recorded_crashes())
    {
        subtask.crashes.push_back({item.run(), item.worker(), item.address(),
                                   item.at_ms(),
                                   item.conclusive() ? crash_cause::sole
                                   : item.shared()   ? crash_cause::shared
                                                     : crash_cause::unknown});
    }
    subtask.last_judged_run = saved.last_crashed_run();
    if (saved.crashes() > 0 && subtask.crashes.empty())
    {
        // The circumstances of crashes that an earlier version counted are not
        // known, so one of them keeps the subtask suspect.
        crash_record unknown;
        unknown.run = saved.last_crashed_run();
        subtask.crashes.push_back(unknown);
    }
    subtask.checkpoint = saved.checkpoint();
    for (const auto& run : saved.active())
    {
        subtask.active.push_back(
            {run.run().run(), {run.worker(), run.born_ms()}});
    }
    return subtask;
}

void save_step(const step_state& step, step_snapshot& saved)
{
    saved.set_failures(step.failures);
    saved.set_last_failed_run(step.last_failed_run);
    saved.set_checkpoint(step.checkpoint);
    saved.set_done_run(step.done_run);
    save_ranges(step.done, *saved.mutable_done());
    for (const auto& [index, subtask] : step.subtasks)
    {
        auto& item = *saved.add_recorded_subtasks();
        item.set_index(index);
        save_subtask(subtask, item);
    }
}

void load_step(const step_snapshot& saved, step_state& step)
{
    step.failures = saved.failures();
    step.last_failed_run = saved.last_failed_run();
    step.checkpoint = saved.checkpoint();
    step.done_run = saved.done_run();
    step.done = load_ranges(saved.done());
    for (const auto& item : saved.recorded_subtasks())
    {
        add_subtask(step, item.index(), load_subtask(item));
    }
    // Snapshots of earlier versions hold all subtasks.
    std::uint32_t index = 0;
    for (const auto& item : saved.subtasks())
    {
        if (item.done())
        {
            step.done.insert(index);
        }
        add_subtask(step, index, load_subtask(item));
        ++index;
    }
}

void save_job(const job_state& job, job_snapshot& saved)
{
    *saved.mutable_job() = job.job;
    saved.set_cancelled(job.cancelled);
    saved.set_failed(job.failed);
    saved.set_complete(job.complete);
    saved.set_started(job.started);
    saved.set_finished_ms(job.finished_ms);
    saved.set_failure_reason(job.failure_reason);
    for (const auto& [number, occurrence] : job.occurrences)
    {
        auto& saved_occurrence = *saved.add_occurrences();
        saved_occurrence.set_occurrence(number);
        saved_occurrence.set_done(occurrence.done);
        for (const auto& step : occurrence.steps)
        {
            save_step(step, *saved_occurrence.add_steps());
        }
    }
    save_ranges(job.ended_occurrences, *saved.mutable_ended_occurrences());
}

// Calls `load` with each job of a serialized `fleet_snapshot`, and appends the
// other fields to `others` in their serialized form. Returns false when `data`
// can not be read.
template <typename Load>
bool for_each_job(const std::string& data, std::string& others,
                  const Load& load)
{
    using google::protobuf::internal::WireFormatLite;
    constexpr auto jobs_tag =
        WireFormatLite::MakeTag(fleet_snapshot::kJobsFieldNumber,
                                WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
    google::protobuf::io::CodedInputStream in(
        reinterpret_cast<const std::uint8_t*>(data.data()),
        static_cast<int>(data.size()));
    for (;;)
    {
        const auto begin = static_cast<std::size_t>(in.CurrentPosition());
        const auto tag = in.ReadTag();
        if (tag == 0)
        {
            return begin == data.size();
        }
        if (tag != jobs_tag)
        {
            if (!WireFormatLite::SkipField(&in, tag))
            {
                return false;
            }
            others.append(data, begin,
                          static_cast<std::size_t>(in.CurrentPosition()) -
                              begin);
            continue;
        }
        job_snapshot job;
        int size = 0;
        if (!in.ReadVarintSizeAsInt(&size) ||
            static_cast<std::size_t>(size) >
                data.size() - static_cast<std::size_t>(in.CurrentPosition()) ||
            !job.ParseFromArray(data.data() + in.CurrentPosition(), size) ||
            !in.Skip(size))
        {
            return false;
        }
        load(job);
    }
}

// Beside the accepted job itself; an estimate that saves reallocations.
constexpr std::size_t reserved_bytes_per_job = 64;

} // namespace

// A snapshot is a serialized `fleet_snapshot`. Serialized messages that follow
// each other are one message with the elements of all, so that jobs are written
// and read one by one: the copy of all jobs in one message would take more than
// the state itself.
std::string fleet_state::snapshot() const
{
    std::vector<const job_state*> ordered;
    ordered.reserve(jobs_.size());
    std::size_t bytes = 0;
    for (const auto& [id, job] : jobs_)
    {
        ordered.push_back(&job);
        bytes += job.job.ByteSizeLong() + reserved_bytes_per_job;
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const job_state* a, const job_state* b)
              {
                  return a->order < b->order;
              });
    fleet_snapshot others;
    *others.mutable_document() = document_;
    for (const auto& [id, worker] : workers_)
    {
        *others.add_workers() = worker;
    }
    for (const auto& incarnation : gone_workers_)
    {
        auto& saved = *others.add_gone_workers();
        saved.set_id(incarnation.worker);
        saved.set_born_ms(incarnation.born_ms);
        saved.set_gone(true);
    }
    for (const auto& name : evacuated_)
    {
        others.add_evacuated(name);
    }
    std::string out;
    out.reserve(bytes + others.ByteSizeLong());
    others.AppendToString(&out);
    for (const auto* job : ordered)
    {
        fleet_snapshot one;
        save_job(*job, *one.add_jobs());
        one.AppendToString(&out);
    }
    return out;
}

bool fleet_state::restore(const std::string& data)
{
    fleet_state restored;
    std::string others;
    const bool valid = for_each_job(data, others,
                                    [&restored](job_snapshot& saved)
                                    {
                                        restored.load_job(saved);
                                    });
    fleet_snapshot in;
    if (!valid || !in.ParseFromString(others))
    {
        return false;
    }
    restored.document_ = std::move(*in.mutable_document());
    for (const auto& worker : in.workers())
    {
        restored.workers_[worker.id()] = worker;
        restored.workers_cost_ += worker_cost(worker);
    }
    for (const auto& worker : in.gone_workers())
    {
        restored.remember_gone({worker.id(), worker.born_ms()});
    }
    restored.evacuated_.insert(in.evacuated().begin(), in.evacuated().end());
    *this = std::move(restored);
    return true;
}

void fleet_state::load_job(job_snapshot& saved)
{
    auto& job = jobs_[saved.job().id()];
    add_job(job, std::move(*saved.mutable_job()));
    job.cancelled = saved.cancelled();
    job.failed = saved.failed();
    job.complete = saved.complete();
    job.started = saved.started();
    job.finished_ms = saved.finished_ms();
    job.failure_reason = saved.failure_reason();
    job.ended_occurrences = load_ranges(saved.ended_occurrences());
    job.done_occurrences = job.ended_occurrences.size();
    for (const auto& saved_occurrence : saved.occurrences())
    {
        auto& steps = occurrence(job, saved_occurrence.occurrence()).steps;
        const auto count =
            std::min(steps.size(),
                     static_cast<std::size_t>(saved_occurrence.steps_size()));
        for (std::size_t s = 0; s < count; ++s)
        {
            load_step(saved_occurrence.steps(static_cast<int>(s)), steps[s]);
        }
        record_occurrence_end(job, saved_occurrence.occurrence());
    }
}

} // namespace limpetstack::fleet

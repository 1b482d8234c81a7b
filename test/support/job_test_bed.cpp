#include "support/job_test_bed.hpp"

#include <algorithm>

namespace limpetstack::test
{
namespace
{

constexpr std::uint32_t worker_cores = 32;
constexpr std::uint64_t worker_memory_mib = 128 << 10;

} // namespace

wire::transition_response
fake_journal::transition(const wire::request_record& /*record*/)
{
    return {};
}

absl::Status fake_journal::write_job(const wire::job_record& record)
{
    if (store_.epoch != epoch_)
    {
        return absl::UnavailableError("another epoch");
    }
    if (failing_writes > 0)
    {
        --failing_writes;
        return absl::UnavailableError("told to fail");
    }
    store_.jobs[record.id()] = record;
    return absl::OkStatus();
}

std::vector<wire::job_record> fake_journal::jobs() const
{
    std::vector<wire::job_record> result;
    for (const auto& entry : store_.jobs)
    {
        result.push_back(entry.second);
    }
    return result;
}

std::optional<wire::job_record> fake_journal::job(const std::string& id) const
{
    const auto found = store_.jobs.find(id);
    return found == store_.jobs.end()
               ? std::nullopt
               : std::optional<wire::job_record>(found->second);
}

void fake_journal::set_epoch(std::uint64_t epoch)
{
    epoch_ = epoch;
    store_.epoch = epoch;
}

void fake_fleet::add_racks(int racks, int workers_per_rack,
                           std::uint32_t accelerators)
{
    for (int r = 0; r < racks; ++r)
    {
        for (int w = 0; w < workers_per_rack; ++w)
        {
            const auto id = "w" + std::to_string(r) + "-" + std::to_string(w);
            auto& entry = workers_[id].entry;
            entry.set_id(id);
            entry.set_address(id);
            entry.set_data_centre("dc1");
            entry.set_rack("r" + std::to_string(r));
            entry.set_cores(worker_cores);
            entry.set_memory_mib(worker_memory_mib);
            entry.set_accelerators(accelerators);
        }
    }
}

bool fake_fleet::chance(double probability)
{
    return probability > 0 &&
           std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

absl::StatusOr<std::vector<task_status>>
fake_fleet::call(worker_action action, const std::string& address,
                 const worker_request& request, milliseconds /*timeout*/)
{
    ++calls;
    settle();
    const auto found = workers_.find(address);
    const auto now = timers_.now();
    if (found == workers_.end() || frozen.count(address) > 0 ||
        chance(lost_requests))
    {
        return absl::DeadlineExceededError("lost request");
    }
    if (chance(late_requests))
    {
        late_.emplace(now + delay, late_request{action, address, request});
        return absl::DeadlineExceededError("late request");
    }
    auto result = handle(found->second, action, request, now);
    if (chance(lost_answers))
    {
        return absl::DeadlineExceededError("lost answer");
    }
    return result;
}

std::string fake_fleet::refusal(const worker& w, worker_action action,
                                const worker_request& request) const
{
    if (request.epoch < w.epoch)
    {
        return "lower epoch";
    }
    if (action == worker_action::reserve)
    {
        std::uint64_t accelerators = 0;
        std::uint64_t cores = 0;
        for (const auto& [key, t] : w.tasks)
        {
            const bool held = t.state == "reserved" || t.state == "running";
            accelerators += held ? t.order.accelerators : 0;
            cores += held ? t.order.cores : 0;
        }
        for (const auto& order : request.tasks)
        {
            accelerators += order.accelerators;
            cores += order.cores;
        }
        return refusing.count(w.entry.id()) > 0 ||
                       accelerators > w.entry.accelerators() ||
                       cores > w.entry.cores()
                   ? "resources are short"
                   : "";
    }
    if (action == worker_action::commit || action == worker_action::renew)
    {
        for (const auto& order : request.tasks)
        {
            const auto t = w.tasks.find({order.job, order.member});
            if (t == w.tasks.end() || t->second.attempt != order.attempt ||
                (action == worker_action::commit &&
                 t->second.state != "reserved" && t->second.state != "running"))
            {
                return "no such task";
            }
        }
    }
    return "";
}

absl::StatusOr<std::vector<task_status>>
fake_fleet::handle(worker& w, worker_action action,
                   const worker_request& request, time_point now)
{
    expire(w, now);
    const auto reason = refusal(w, action, request);
    if (!reason.empty())
    {
        return absl::FailedPreconditionError(reason);
    }
    w.epoch = request.epoch;
    std::vector<task_status> result;
    for (const auto& order : request.tasks)
    {
        apply(w, action, order, request.lease, now);
        const auto t = w.tasks.find({order.job, order.member});
        if (t == w.tasks.end() || t->second.attempt != order.attempt)
        {
            continue;
        }
        static const std::map<std::string, task_state> states{
            {"reserved", task_state::reserved},
            {"running", task_state::running},
            {"done", task_state::done},
            {"failed", task_state::failed},
            {"stopped", task_state::stopped}};
        result.push_back({order.job, order.attempt, order.member,
                          states.at(t->second.state), t->second.progress});
    }
    return result;
}

void fake_fleet::apply(worker& w, worker_action action, const task_order& order,
                       milliseconds lease, time_point now)
{
    const std::pair key(order.job, order.member);
    if (action == worker_action::reserve)
    {
        auto& t = w.tasks[key];
        if (t.state == "running")
        {
            end(w, t, "stopped", now);
        }
        t = task();
        t.attempt = order.attempt;
        t.order = order;
        t.state = "reserved";
        t.lease_end = now + lease;
        t.progress = order.progress;
        return;
    }
    const auto found = w.tasks.find(key);
    if (found == w.tasks.end() || found->second.attempt != order.attempt)
    {
        return;
    }
    auto& t = found->second;
    const bool held = t.state == "reserved" || t.state == "running";
    if (action == worker_action::commit && t.state == "reserved")
    {
        t.state = "running";
        t.start = now;
        t.lease_end = now + lease;
        if (failing.count(w.entry.id()) > 0 ||
            failing_jobs.count(order.job) > 0)
        {
            end(w, t, "failed", now);
        }
    }
    else if (action == worker_action::renew && held)
    {
        t.lease_end = now + lease;
    }
    else if (action == worker_action::checkpoint && t.state == "running")
    {
        t.progress = progress_of(t, now);
    }
    else if (action == worker_action::stop && t.state == "running")
    {
        end(w, t, "stopped", now);
    }
    else if (action == worker_action::stop && t.state == "reserved")
    {
        t.state = "stopped";
    }
}

milliseconds fake_fleet::run_time_of(const std::string& job) const
{
    const auto found = run_times.find(job);
    return found == run_times.end() ? run_time : found->second;
}

double fake_fleet::progress_of(const task& t, time_point now) const
{
    const auto total = static_cast<double>(run_time_of(t.order.job).count());
    return std::min(1.0,
                    t.order.progress +
                        static_cast<double>((now - t.start).count()) / total);
}

void fake_fleet::end(const worker& w, task& t, const std::string& how,
                     time_point at)
{
    history_.push_back({t.order.job, t.attempt, t.order.member, w.entry.id(),
                        t.start, at, how});
    t.state = how == "done" || how == "failed" ? how : "stopped";
}

void fake_fleet::expire(worker& w, time_point now)
{
    for (auto& [key, t] : w.tasks)
    {
        if (t.state == "reserved" && t.lease_end <= now)
        {
            t.state = "stopped";
        }
        if (t.state != "running")
        {
            continue;
        }
        const auto left =
            1 - std::min(t.order.progress, 1.0); // The rest of the work.
        const auto finish =
            t.start +
            milliseconds(static_cast<std::int64_t>(
                left * static_cast<double>(run_time_of(t.order.job).count())));
        if (finish <= std::min(now, t.lease_end))
        {
            end(w, t, "done", finish);
        }
        else if (t.lease_end <= now)
        {
            end(w, t, "lapsed", t.lease_end);
        }
    }
}

void fake_fleet::settle()
{
    const auto now = timers_.now();
    while (!late_.empty() && late_.begin()->first <= now)
    {
        const auto at = late_.begin()->first;
        const auto late = late_.begin()->second;
        late_.erase(late_.begin());
        static_cast<void>(
            handle(workers_.at(late.worker), late.action, late.request, at));
    }
    for (auto& entry : workers_)
    {
        expire(entry.second, now);
    }
}

void fake_fleet::crash(const std::string& worker)
{
    settle();
    auto& w = workers_.at(worker);
    for (auto& [key, t] : w.tasks)
    {
        if (t.state == "running")
        {
            end(w, t, "crashed", timers_.now());
        }
    }
    w.tasks.clear();
}

std::vector<wire::worker_entry> fake_fleet::live() const
{
    std::vector<wire::worker_entry> result;
    for (const auto& entry : workers_)
    {
        result.push_back(entry.second.entry);
    }
    return result;
}

std::vector<std::string> fake_fleet::ids() const
{
    std::vector<std::string> result;
    for (const auto& entry : workers_)
    {
        result.push_back(entry.first);
    }
    return result;
}

std::vector<run_interval> fake_fleet::history()
{
    settle();
    auto result = history_;
    for (const auto& [id, w] : workers_)
    {
        for (const auto& [key, t] : w.tasks)
        {
            if (t.state == "running")
            {
                result.push_back({key.first, t.attempt, key.second, id, t.start,
                                  timers_.now(), "running"});
            }
        }
    }
    return result;
}

std::map<std::string, int> fake_fleet::running()
{
    std::map<std::string, int> result;
    for (const auto& interval : history())
    {
        result[interval.job] += interval.how == "running" ? 1 : 0;
    }
    return result;
}

document two_accounts(int racks, int workers_per_rack,
                      std::uint32_t accelerators,
                      std::vector<guaranteed_shape> guarantees)
{
    document result;
    rack_group group;
    group.data_centre = "dc1";
    group.racks = static_cast<std::uint32_t>(racks);
    group.workers_per_rack = static_cast<std::uint32_t>(workers_per_rack);
    group.cores = worker_cores;
    group.memory_mib = worker_memory_mib;
    group.accelerators = accelerators;
    result.fleet.push_back(group);
    for (const std::string name : {"a", "b"})
    {
        client_account account;
        account.name = name;
        service s;
        s.name = "s";
        account.services.push_back(s);
        result.client_accounts.push_back(account);
    }
    result.client_accounts[0].guarantees = std::move(guarantees);
    return result;
}

wire::job_submission submission(const std::string& account, int number,
                                std::uint32_t members,
                                std::uint32_t accelerators,
                                const std::string& adjacency)
{
    wire::job_submission result;
    result.set_id("job-dc1-1-" + std::to_string(number));
    result.set_data_centre("dc1");
    auto& spec = *result.mutable_spec();
    spec.set_account(account);
    spec.set_service("s");
    spec.set_members(members);
    spec.set_accelerators(accelerators);
    spec.set_cores(1);
    spec.set_memory_mib(1024);
    spec.set_adjacency(adjacency);
    return result;
}

std::string gang_violation(const std::vector<run_interval>& history,
                           const std::map<std::string, std::uint32_t>& members,
                           milliseconds bound)
{
    std::map<std::pair<std::string, std::uint32_t>, std::vector<run_interval>>
        attempts;
    for (const auto& interval : history)
    {
        attempts[{interval.job, interval.attempt}].push_back(interval);
    }
    std::pair<std::string, time_point> before;
    for (const auto& [key, intervals] : attempts)
    {
        const auto label = key.first + " attempt " + std::to_string(key.second);
        auto first_start = time_point::max();
        auto last_end = time_point::min();
        auto partial_since = time_point::max();
        std::set<std::uint32_t> started;
        for (const auto& interval : intervals)
        {
            if (!started.insert(interval.member).second)
            {
                return label + ": a member ran twice";
            }
            first_start = std::min(first_start, interval.start);
            last_end = std::max(last_end, interval.end);
            if (interval.how != "done" && interval.how != "running")
            {
                partial_since = std::min(partial_since, interval.end);
            }
        }
        if (started.size() < members.at(key.first))
        {
            partial_since = std::min(partial_since, first_start);
        }
        if (partial_since != time_point::max() &&
            last_end - partial_since > bound)
        {
            return label + ": partial for " +
                   std::to_string((last_end - partial_since).count()) + " ms";
        }
        if (before.first == key.first && before.second > first_start)
        {
            return label + ": overlaps the attempt before";
        }
        before = {key.first,
                  std::max(last_end, before.first == key.first ? before.second
                                                               : last_end)};
    }
    return "";
}

} // namespace limpetstack::test

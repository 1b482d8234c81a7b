#include "support/fleet_fixture.hpp"

#include <functional>
#include <string>
#include <utility>

namespace limpetstack::fleet
{

fleet_fixture::fleet_fixture()
{
    document.version = 1;
    service_config service;
    service.name = "service";
    document.services["service"] = service;
    const auto add_queue = [this](const char* name, std::int64_t priority)
    {
        queue_config queue;
        queue.name = name;
        queue.service = "service";
        queue.priority = priority;
        queue.attempts = 2;
        queue.stretch = 3;
        queue.allowance_ms = 1000;
        document.queues.push_back(queue);
    };
    add_queue("urgent", 0);
    add_queue("normal", 1);
    add_queue("low", 2);
    add_queue("restricted", 1);
    document.queues.back().policy = {100, 10, 5000};
    add_queue("other", 2);
    document.queues.back().service = "other";
    account_config account;
    account.name = "account";
    account.guaranteed_accelerators = 16;
    document.accounts.push_back(account);
    start_leader();
}

void fleet_fixture::start_leader()
{
    ++epoch;
    proposals.clear();
    departures_.clear();
    const auto propose = [this](fleet_command command)
    {
        proposals.push_back(std::move(command));
    };
    scheduler.reset();
    workers = std::make_unique<worker_fleet>(
        worker_fleet_options(), state, port, propose,
        [this]
        {
            return now;
        },
        [this]
        {
            return wall_ms;
        },
        epoch, counters);
    scheduler = std::make_unique<fleet_scheduler>(
        scheduler_options, state, *workers, policy,
        [this]
        {
            return now;
        },
        propose, counters);
    scheduler->use_document(document);
}

void fleet_fixture::apply(const fleet_command& command)
{
    const auto result = state.apply(command);
    workers->on_applied(command, result, now);
    scheduler->on_applied(command, result, now);
    if (command.has_remove_worker())
    {
        const auto [first, last] =
            departures_.equal_range(command.remove_worker().id());
        const std::multimap<std::string, std::function<void()>> answers(first,
                                                                        last);
        departures_.erase(first, last);
        for (const auto& [id, done] : answers)
        {
            done();
        }
    }
}

void fleet_fixture::commit()
{
    while (!proposals.empty())
    {
        const auto command = std::move(proposals.front());
        proposals.pop_front();
        apply(command);
    }
    workers->advance(now);
    if (!proposals.empty())
    {
        commit();
    }
}

void fleet_fixture::advance(milliseconds time)
{
    now += time;
    wall_ms += time.count();
    commit();
}

void fleet_fixture::add_worker(const std::string& id, const std::string& rack,
                               std::int64_t born_ms, const std::string& service,
                               const std::string& label)
{
    fleet_command command;
    auto& worker = *command.mutable_worker();
    worker.set_id(id);
    worker.set_born_ms(born_ms);
    worker.set_service(service);
    worker.set_address(id + ":80");
    worker.set_rack(rack);
    worker.set_data_centre("dc-" + rack);
    worker.mutable_capacity()->set_cpu_milli(32000);
    worker.mutable_capacity()->set_memory_mb(131072);
    worker.mutable_capacity()->set_accelerators(8);
    if (!label.empty())
    {
        worker.add_labels(label);
    }
    apply(command);
    report(id);
}

void fleet_fixture::replace_worker(const std::string& id,
                                   const std::string& successor)
{
    fleet_command command;
    auto& worker = *command.mutable_worker();
    worker = state.workers().at(id);
    worker.set_id(successor);
    worker.set_born_ms(worker.born_ms() + 1);
    apply(command);
    report(successor);
}

void fleet_fixture::set_evacuated(const std::string& data_centre, bool active)
{
    fleet_command command;
    command.mutable_evacuation()->set_data_centre(data_centre);
    command.mutable_evacuation()->set_active(active);
    apply(command);
}

void fleet_fixture::drain(const std::string& id)
{
    fleet_command command;
    *command.mutable_worker() = state.workers().at(id);
    command.mutable_worker()->set_draining(true);
    apply(command);
}

void fleet_fixture::propose_removal(const worker_incarnation& worker,
                                    std::function<void()> done)
{
    fleet_command command;
    auto& removed = *command.mutable_remove_worker();
    removed.set_id(worker.worker);
    removed.set_born_ms(worker.born_ms);
    removed.set_gone(true);
    departures_.emplace(worker.worker, std::move(done));
    proposals.push_back(std::move(command));
}

void fleet_fixture::depart(const std::string& id, std::function<void()> done)
{
    const auto found = state.workers().find(id);
    if (found == state.workers().end() || !found->second.draining())
    {
        done();
        return;
    }
    const worker_incarnation worker{id, found->second.born_ms()};
    workers->begin_departure(
        worker,
        [this, worker, done = std::move(done)](bool leading)
        {
            if (leading)
            {
                propose_removal(worker, done);
            }
        },
        now);
    commit();
}

void fleet_fixture::report(const std::string& id)
{
    worker_report report;
    report.worker = state.workers().at(id);
    report.worker_time_ms = worker_clock();
    report.sequence = static_cast<std::uint64_t>(worker_clock());
    workers->record_report(report, now);
}

void fleet_fixture::submit(const std::string& id, const step_spec& step,
                           const std::string& queue, const std::string& account)
{
    job_spec spec;
    *spec.add_steps() = step;
    submit_job(id, spec, queue, account);
}

void fleet_fixture::submit_job(const std::string& id, const job_spec& spec,
                               const std::string& queue,
                               const std::string& account)
{
    fleet_command command;
    auto& job = *command.mutable_accept();
    job.set_id(id);
    job.set_queue(queue);
    job.set_account(account);
    job.set_service("service");
    job.set_attempts(2);
    *job.mutable_spec() = spec;
    apply(command);
}

void fleet_fixture::schedule()
{
    scheduler->run_round(now, wall_ms);
    commit();
}

// Answers all open holds. `fill_lists` adds the runs of the worker with the
// given id.
static void answer_holds(
    fleet_fixture& fixture,
    const std::function<void(const std::string& worker, worker_lists& lists)>&
        fill_lists)
{
    fixture.commit();
    while (!fixture.port.holds.empty())
    {
        const auto hold = fixture.port.holds.front();
        fixture.port.holds.pop_front();
        hold_answer answer;
        answer.result = order_result::accepted;
        answer.lists.worker_time_ms = fixture.worker_clock();
        fill_lists(hold.order.worker, answer.lists);
        hold.done(answer);
    }
}

void confirm_workers(fleet_fixture& fixture)
{
    answer_holds(fixture, [](const std::string&, worker_lists&) {});
}

void list_runs(fleet_fixture& fixture)
{
    answer_holds(
        fixture,
        [&fixture](const std::string& worker, worker_lists& lists)
        {
            const auto percent =
                static_cast<int>(fixture.worker_clock() / 1000);
            for (const auto& key : fixture.workers->workers().at(worker).runs)
            {
                lists.running.push_back(
                    {fixture.workers->runs().at(key).ref, "", percent % 100});
            }
        });
}

void add_ready_worker(fleet_fixture& fixture, const std::string& id,
                      const std::string& rack)
{
    fixture.add_worker(id, rack);
    confirm_workers(fixture);
}

void accept_starts(fleet_fixture& fixture)
{
    for (auto& start : fixture.port.starts)
    {
        start.done({order_result::accepted, fixture.worker_clock()});
    }
}

void end_run(fleet_fixture& fixture, const run_ref& run, run_end end)
{
    const auto& live = fixture.workers->runs().at(worker_fleet::key_of(run));
    fleet_command command;
    auto& ended = *command.mutable_end();
    *ended.mutable_run() = run;
    ended.set_worker(live.incarnation.worker);
    ended.set_born_ms(live.incarnation.born_ms);
    ended.set_end(end);
    fixture.apply(command);
    fixture.commit();
}

std::int64_t used_accelerators(const fleet_fixture& fixture)
{
    std::int64_t used = 0;
    for (const auto& [id, worker] : fixture.workers->workers())
    {
        used += worker.used.accelerators;
    }
    return used;
}

step_spec make_step(std::uint32_t count, std::int64_t accelerators, bool gang)
{
    step_spec step;
    step.set_subtask_count(count);
    step.mutable_need()->set_accelerators(accelerators);
    step.mutable_need()->set_cpu_milli(1000);
    step.mutable_need()->set_memory_mb(1000);
    step.set_estimate_ms(5000);
    step.set_gang(gang);
    return step;
}

run_ref make_run(const std::string& job, std::uint32_t index, std::uint32_t run)
{
    run_ref ref;
    ref.set_job(job);
    ref.set_index(index);
    ref.set_run(run);
    return ref;
}

} // namespace limpetstack::fleet

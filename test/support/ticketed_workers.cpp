#include "support/ticketed_workers.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds tick{1};
constexpr milliseconds report_interval{1000};

} // namespace

ticketed_workers::ticketed_workers(fleet_fixture& fixture, int worker_count,
                                   const ticket_policy& policy)
    : fixture_(fixture)
    , policy_(policy)
{
    for (auto& queue : fixture.document.queues)
    {
        if (queue.policy)
        {
            queue.policy = policy;
        }
    }
    fixture.scheduler->use_document(fixture.document);
    for (int i = 0; i < worker_count; ++i)
    {
        workers_.push_back(absl::StrCat("w", 100 + i));
        fixture.add_worker(workers_.back(), "r1");
    }
    confirm_workers(fixture);
}

void ticketed_workers::later(milliseconds delay, std::function<void()> run)
{
    delayed_.push_back({fixture_.now + delay, std::move(run)});
}

void ticketed_workers::run_due()
{
    std::vector<std::function<void()>> due;
    for (auto at = delayed_.begin(); at != delayed_.end();)
    {
        if (at->at <= fixture_.now)
        {
            due.push_back(std::move(at->run));
            at = delayed_.erase(at);
        }
        else
        {
            ++at;
        }
    }
    for (const auto& run : due)
    {
        run();
    }
}

void ticketed_workers::take_questions()
{
    for (auto& item : std::exchange(fixture_.policy.questions, {}))
    {
        ++questions;
        if (answers_left == 0)
        {
            later(item.timeout,
                  [done = item.done]
                  {
                      done(std::nullopt);
                  });
            continue;
        }
        --answers_left;
        service_free_at_ = std::max(service_free_at_, fixture_.now) +
                           milliseconds(policy_.decision_ms +
                                        policy_.per_worker_ms *
                                            static_cast<std::int64_t>(
                                                item.question.workers.size()));
        later(service_free_at_ - fixture_.now,
              [this, item]
              {
                  // A ticket is the time of its expiry.
                  const auto expiry =
                      fixture_.worker_clock() + policy_.valid_ms;
                  std::vector<policy_ticket> tickets;
                  for (const auto& worker : item.question.workers)
                  {
                      tickets.push_back({worker, absl::StrCat(expiry)});
                  }
                  item.done(tickets);
              });
    }
}

void ticketed_workers::take_start(const fake_worker_port::sent_start& item)
{
    order_answer answer;
    answer.worker_time_ms = fixture_.worker_clock();
    const auto& ticket = item.order.ticket;
    const auto* const job = fixture_.state.find_job(item.order.run.job());
    const bool restricted = job->job.queue() == "restricted";
    if (restricted && (refuses_all || ticket.empty() ||
                       fixture_.worker_clock() >= std::stoll(ticket)))
    {
        ++refused;
        answer.result = order_result::bad_ticket;
        item.done(answer);
        return;
    }
    if (restricted)
    {
        if (started.empty())
        {
            first_start = fixture_.now;
        }
        started.insert(worker_fleet::key_of(item.order.run));
        last_start = fixture_.now;
    }
    answer.result = order_result::accepted;
    item.done(answer);
}

void ticketed_workers::take_starts()
{
    for (auto& item : std::exchange(fixture_.port.starts, {}))
    {
        if (unanswered_starts > 0)
        {
            --unanswered_starts;
            later(item.timeout,
                  [done = item.done]
                  {
                      done(order_answer());
                  });
            continue;
        }
        later(tick,
              [this, item]
              {
                  take_start(item);
              });
    }
}

// Lists the started runs, and acknowledges stops.
void ticketed_workers::answer_others()
{
    for (auto& item : std::exchange(fixture_.port.holds, {}))
    {
        later(milliseconds(item.order.wait_limit_ms),
              [this, item]
              {
                  hold_answer answer;
                  answer.result = order_result::accepted;
                  answer.lists.worker_time_ms = fixture_.worker_clock();
                  for (const auto& [key, run] : fixture_.workers->runs())
                  {
                      if (run.location.worker == item.order.worker &&
                          run.phase >= run_phase::present)
                      {
                          answer.lists.running.push_back({run.ref, "", 10, {}});
                      }
                  }
                  item.done(answer);
              });
    }
    for (auto& item : std::exchange(fixture_.port.stops, {}))
    {
        order_answer answer;
        answer.result = order_result::accepted;
        answer.worker_time_ms = fixture_.worker_clock();
        item.done(answer);
    }
}

void ticketed_workers::advance(milliseconds time)
{
    for (milliseconds passed{0}; passed < time; passed += tick)
    {
        fixture_.now += tick;
        fixture_.wall_ms += tick.count();
        run_due();
        if (fixture_.now >= next_report_)
        {
            next_report_ = fixture_.now + report_interval;
            for (const auto& id : workers_)
            {
                fixture_.report(id);
            }
        }
        fixture_.scheduler->run_round(fixture_.now, fixture_.wall_ms);
        if (fixture_.now >= next_commit_)
        {
            next_commit_ = fixture_.now + commit_interval;
            fixture_.commit();
        }
        else
        {
            fixture_.workers->advance(fixture_.now);
        }
        take_questions();
        take_starts();
        answer_others();
    }
}

} // namespace limpetstack::fleet

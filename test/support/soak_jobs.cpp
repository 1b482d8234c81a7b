#include "support/soak_jobs.hpp"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

using nlohmann::json;

constexpr char large_job[] = "ffffffffffffffff";

// Open jobs whose state is asked for at a time.
constexpr int max_polled_jobs = 20;

bool is_over(const std::string& state)
{
    return state == "complete" || state == "cancelled";
}

} // namespace

soak_jobs::soak_jobs(soak_rules& rules, unsigned seed, sender send)
    : rules_(rules)
    , random_(seed)
    , send_(std::move(send))
{
}

void soak_jobs::submit()
{
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx", ++last_job_);
    json step{{"count", 1 + random_() % 4},
              {"cpu", 1000},
              {"mem_mb", 1000},
              {"gpu", 1 + random_() % 4},
              {"estimate_ms", 300 + random_() % 1500}};
    if (random_() % 3 == 0)
    {
        step["gang"] = true;
    }
    if (random_() % 5 == 0)
    {
        rules_.endless.insert(id);
    }
    bodies_[id] = json{{"spec", "x"}, {"steps", {step}}}.dump();
    send_job(id);
}

void soak_jobs::submit_large_job()
{
    if (bodies_.count(large_job) > 0)
    {
        return;
    }
    constexpr std::size_t max_steps = 256;
    const json step{{"count", 20000}, {"cpu", 1000}, {"gang", true}};
    bodies_[large_job] =
        json{{"spec", "x"}, {"steps", std::vector<json>(max_steps, step)}}
            .dump();
    rules_.endless.insert(large_job);
    uncertain_.insert(large_job); // Is sent until it is accepted.
    send_job(large_job);
}

void soak_jobs::send_job(const std::string& id)
{
    rules_.submitted.insert(id);
    send_("POST", "/q/" + id, bodies_.at(id),
          [this, id](const http_channel_answer& answer)
          {
              record_answer(id, answer.status);
          });
}

// A refusal says that the job does not run, unless an earlier call of the same
// job may have been accepted.
void soak_jobs::record_answer(const std::string& id, unsigned status)
{
    constexpr unsigned no_answer = 0;
    constexpr unsigned outcome_unknown = 504;
    if (status == 200)
    {
        states_.emplace(id, "");
    }
    else if (status == no_answer || status == outcome_unknown)
    {
        uncertain_.insert(id);
        resubmit_.push_back(id);
    }
    else if (uncertain_.count(id) > 0)
    {
        resubmit_.push_back(id);
    }
    else
    {
        rules_.refused.insert(id);
        if (rules_.started.count(id) > 0)
        {
            rules_.violations.push_back(
                absl::StrCat("started job ", id, " is refused: ", status));
        }
    }
}

void soak_jobs::cancel(const std::string& id)
{
    send_("DELETE", "/p/" + id, "",
          [this, id](const http_channel_answer& answer)
          {
              if (answer.status == 200)
              {
                  cancelled_.insert(id);
              }
          });
}

void soak_jobs::poll()
{
    for (const auto& id : std::exchange(resubmit_, {}))
    {
        send_job(id);
    }
    int asked = 0;
    for (const auto& [id, state] : states_)
    {
        if (is_over(state) || ++asked > max_polled_jobs)
        {
            continue;
        }
        if (rules_.endless.count(id) > 0 && cancelled_.count(id) == 0 &&
            random_() % 4 == 0)
        {
            cancel(id);
        }
        send_(
            "GET", "/p/" + id, "",
            [this, id = id](const http_channel_answer& answer)
            {
                if (answer.status == 410)
                {
                    rules_.violations.push_back("accepted job " + id +
                                                " is not known");
                }
                else if (answer.status == 200)
                {
                    states_[id] =
                        json::parse(answer.body).value("state", std::string());
                }
            });
    }
}

std::vector<std::string> soak_jobs::open_jobs() const
{
    std::vector<std::string> open;
    for (const auto& [id, state] : states_)
    {
        if (!is_over(state))
        {
            open.push_back(absl::StrCat(id, " ", state));
        }
    }
    return open;
}

bool soak_jobs::has_run_of_endless_job() const
{
    for (const auto& [subtask, runs] : rules_.running)
    {
        if (runs > 0 &&
            rules_.endless.count(subtask.substr(0, subtask.find('.'))) > 0)
        {
            return true;
        }
    }
    return false;
}

bool soak_jobs::all_over() const
{
    return open_jobs().empty() && resubmit_.empty() &&
           !has_run_of_endless_job();
}

} // namespace limpetstack::fleet

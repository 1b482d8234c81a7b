#include "support/fake_upstreams.hpp"

#include <algorithm>
#include <thread>

namespace limpetstack
{

std::string fake_upstreams::answer_of(const std::string& id,
                                      std::string_view body)
{
    return "answer to " + id + " " + std::string(body);
}

attempt_result fake_upstreams::choose(const std::string& address, bool& ran)
{
    const auto fixed = results_.find(address);
    if (fixed != results_.end())
    {
        ran = fixed->second == attempt_result::whole_answer ||
              fixed->second == attempt_result::broken;
        return fixed->second;
    }
    double dice = std::uniform_real_distribution<double>(0, 1)(random_);
    const auto falls_in = [&dice](double share)
    {
        dice -= share;
        return dice < 0;
    };
    ran = false;
    if (falls_in(shares_.refused))
    {
        return attempt_result::refused_before_run;
    }
    if (falls_in(shares_.connect_failed))
    {
        return attempt_result::connect_failed;
    }
    if (falls_in(shares_.broken_before_run))
    {
        return attempt_result::broken;
    }
    ran = true;
    return falls_in(shares_.broken_after_run) ? attempt_result::broken
                                              : attempt_result::whole_answer;
}

upstream_answer fake_upstreams::call(const upstream_attempt& attempt)
{
    upstream_answer out;
    std::unique_lock lock(mutex_);
    bool ran = false;
    out.result = choose(attempt.address, ran);
    ++attempts_[attempt.address];
    auto& at_once = at_once_[attempt.address];
    ++at_once;
    most_at_once_[attempt.address] =
        std::max(most_at_once_[attempt.address], at_once);
    runs_[attempt.id] += ran ? 1 : 0;
    ++in_progress_;
    changed_.notify_all();
    const auto time = service_time_;
    lock.unlock();
    std::this_thread::sleep_for(time);
    lock.lock();
    changed_.wait_for(lock, attempt.timeout,
                      [this]
                      {
                          return !closed_;
                      });
    if (closed_)
    {
        out.result = attempt_result::broken;
    }
    --in_progress_;
    --at_once;
    if (out.result == attempt_result::whole_answer)
    {
        out.status = 200;
        out.content_type = "text/plain";
        out.body = answer_of(attempt.id, attempt.body);
    }
    else
    {
        out.reason = "fault";
    }
    return out;
}

void fake_upstreams::set_faults(faults shares)
{
    const std::lock_guard lock(mutex_);
    shares_ = shares;
}

void fake_upstreams::set_service_time(milliseconds time)
{
    const std::lock_guard lock(mutex_);
    service_time_ = time;
}

void fake_upstreams::set_result(const std::string& address,
                                attempt_result result)
{
    const std::lock_guard lock(mutex_);
    results_[address] = result;
}

void fake_upstreams::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
}

void fake_upstreams::open()
{
    const std::lock_guard lock(mutex_);
    closed_ = false;
    changed_.notify_all();
}

void fake_upstreams::wait_for_attempts(int count)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock,
                  [&]
                  {
                      return in_progress_ >= count;
                  });
}

int fake_upstreams::runs(const std::string& id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
}

int fake_upstreams::attempts(const std::string& address) const
{
    const std::lock_guard lock(mutex_);
    const auto found = attempts_.find(address);
    return found == attempts_.end() ? 0 : found->second;
}

int fake_upstreams::total_attempts() const
{
    const std::lock_guard lock(mutex_);
    int out = 0;
    for (const auto& item : attempts_)
    {
        out += item.second;
    }
    return out;
}

int fake_upstreams::most_at_once(const std::string& address) const
{
    const std::lock_guard lock(mutex_);
    const auto found = most_at_once_.find(address);
    return found == most_at_once_.end() ? 0 : found->second;
}

} // namespace limpetstack

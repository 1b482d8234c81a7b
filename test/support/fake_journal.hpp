#pragma once

#include "peer.pb.h"

#include <map>
#include <mutex>
#include <random>
#include <string>

namespace limpetstack
{

/// Request records of one data centre in memory. It can fail calls before or
/// after their transition.
class fake_journal
{
public:
    explicit fake_journal(std::uint64_t seed = 1)
        : random_(seed)
    {
    }

    /// Sets the share of calls that change nothing and of calls whose response
    /// gets lost; both answer `unknown`.
    void set_faults(double failed, double lost)
    {
        const std::lock_guard lock(mutex_);
        failed_ = failed;
        lost_ = lost;
    }

    wire::transition_response decide(const wire::request_record& asked)
    {
        const std::lock_guard lock(mutex_);
        wire::transition_response out;
        if (std::bernoulli_distribution(failed_)(random_))
        {
            out.set_unknown(true);
            return out;
        }
        auto& current = records_[asked.id()];
        if (allowed(current.phase(), asked.phase()))
        {
            current = asked;
            out.set_applied(true);
        }
        *out.mutable_current() = current;
        if (std::bernoulli_distribution(lost_)(random_))
        {
            out.Clear();
            out.set_unknown(true);
        }
        return out;
    }

    wire::request_record record(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        return records_[id];
    }

    void put(const wire::request_record& record)
    {
        const std::lock_guard lock(mutex_);
        records_[record.id()] = record;
    }

private:
    static bool allowed(wire::request_phase from, wire::request_phase to)
    {
        switch (from)
        {
        case wire::request_absent:
            return to == wire::request_started || to == wire::request_not_run;
        case wire::request_started:
            return to == wire::request_done || to == wire::request_unknown;
        case wire::request_unknown:
            return to == wire::request_done;
        default:
            return false;
        }
    }

    std::mutex mutex_;
    std::mt19937_64 random_;
    double failed_ = 0;
    double lost_ = 0;
    std::map<std::string, wire::request_record> records_;
};

} // namespace limpetstack

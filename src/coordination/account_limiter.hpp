#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace limpetstack
{

/// Bounds the requests of each account that one entry host handles at once. An
/// account may have as many as there are free places, so one account alone can
/// take half of them, and n equally busy ones 1/(n+1) each.
class account_limiter
{
public:
    explicit account_limiter(std::uint32_t places)
        : places_(places)
    {
    }

    /// Takes a place; returns false when the account has its share.
    bool enter(const std::string& account)
    {
        const std::lock_guard lock(mutex_);
        auto& own = in_use_[account];
        if (total_ >= places_ || own >= places_ - total_)
        {
            if (own == 0)
            {
                in_use_.erase(account);
            }
            return false;
        }
        ++own;
        ++total_;
        return true;
    }

    /// Returns a place.
    void leave(const std::string& account)
    {
        const std::lock_guard lock(mutex_);
        const auto found = in_use_.find(account);
        --total_;
        if (--found->second == 0)
        {
            in_use_.erase(found);
        }
    }

private:
    const std::uint32_t places_;
    std::mutex mutex_;
    std::uint32_t total_ = 0;
    std::map<std::string, std::uint32_t> in_use_;
};

} // namespace limpetstack

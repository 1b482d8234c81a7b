#pragma once

#include "support/journal_cluster.hpp"

#include <memory>
#include <string>

namespace limpetstack
{

class journal_cluster::clock : public timer_service
{
public:
    time_point now() const override { return now_; }
    timer_subscription every(milliseconds, callback) override { return {}; }
    timer_subscription after(milliseconds, callback) override { return {}; }
    void advance(milliseconds step) { now_ += step; }

private:
    time_point now_{};
};

struct journal_cluster::host
{
    std::string name;
    std::shared_ptr<fake_disk> disk; // Nothing for a host without one.
    std::unique_ptr<fake_peer_network> network;
    std::unique_ptr<journal_replicator> node; // Nothing while it is down.
    std::shared_ptr<bool> alive;
    bool cut_from_control = false;
    int busy = 0;        // Calls that it is in the middle of.
    ownership_host seen; // As the control leader knows it.
    time_point heard;
};

} // namespace limpetstack

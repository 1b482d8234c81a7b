#pragma once

#include "base/metrics.hpp"
#include "base/system_timer_service.hpp"
#include "coordination/control_group.hpp"
#include "coordination/state_machine.hpp"
#include "peer.pb.h"
#include "state/data_folder.hpp"
#include "support/temporary_folder.hpp"

#include <deque>
#include <functional>
#include <set>
#include <vector>

namespace limpetstack
{

/// A state machine that is the list of the applied documents.
class document_list : public state_machine
{
public:
    wire::command_outcome apply(std::uint64_t index,
                                const wire::control_command& command) override;
    std::string snapshot() const override;
    void restore(std::uint64_t index, const std::string& state) override;

    std::vector<std::string> documents() const;

private:
    mutable std::mutex mutex_;
    std::vector<std::string> documents_;
};

/// Control groups in one process with real data folders and an in-memory
/// network. The first host founds the group.
class control_cluster
{
public:
    control_cluster(int hosts, const control_group_options& options);
    ~control_cluster();
    control_cluster(const control_cluster&) = delete;
    control_cluster& operator=(const control_cluster&) = delete;

    absl::Status start(int index);
    void stop(int index);
    void erase(int index);
    void isolate(int index, bool isolated);

    /// Lets every host take its next admission step until all are voters.
    bool admit_all();

    /// Returns the host that leads and has confirmed it; waits for one.
    int leader();

    /// Proposes on the leader until the command is accepted.
    bool propose(const std::string& document);

    /// Proposes a membership change until its outcome is definite.
    wire::command_outcome change(wire::member_change::kind kind,
                                 const wire::member& subject);

    wire::member member_of(int index) const;
    control_group& group(int index) { return *host_at(index).group; }
    const document_list& state(int index) const
    {
        return *host_at(index).state;
    }
    std::string folder_path(int index) const;
    std::uint64_t message_bytes() const { return message_bytes_; }

private:
    struct host
    {
        bool isolated = false;
        std::unique_ptr<data_folder> folder;
        std::unique_ptr<document_list> state;
        std::shared_ptr<control_group> group;
    };

    host& host_at(int index) { return hosts_[static_cast<std::size_t>(index)]; }
    const host& host_at(int index) const
    {
        return hosts_[static_cast<std::size_t>(index)];
    }
    void deliver(int from, const std::string& address,
                 const wire::consensus_message& message);

    const control_group_options options_;
    temporary_folder root_;
    metrics metrics_;
    system_timer_service timers_{2};
    std::mutex mutex_; // Guards what `deliver` reads of the hosts.
    std::deque<host> hosts_;
    std::atomic<std::uint64_t> message_bytes_{0};
};

/// Waits until `condition` holds; false when it does not within a time that
/// only a hang exceeds.
bool eventually(const std::function<bool()>& condition);

wire::control_command make_command(const std::string& document);

} // namespace limpetstack

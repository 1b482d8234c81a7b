#pragma once

#include "coordination/state_machine.hpp"
#include "state/audit_trail.hpp"
#include "state/config_view.hpp"
#include "state/evacuation_table.hpp"

#include "peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace limpetstack
{

/// Request ids whose outcome is remembered for resends.
constexpr std::size_t max_remembered_outcomes = 4096;

/// Versions whose summary is kept to tell the loser of a race what changed. At
/// 5,900 changes a day they cover the last 15 minutes.
constexpr std::size_t max_past_versions = 64;

/// The replicated control state: the configuration document, the data centre
/// owner records, the evacuated data centres, the audit trail and the outcomes
/// of recent commands. Equal commands give equal states; nothing depends on the
/// time, on the host or on the parser's release. All functions may be called
/// from several threads.
class control_state : public state_machine
{
public:
    control_state();

    wire::command_outcome apply(std::uint64_t index,
                                const wire::control_command& command) override;
    std::string snapshot() const override;

    /// Stops the process when `state` is not a snapshot, because the log that
    /// led to it is gone.
    void restore(std::uint64_t index, const std::string& state) override;

    std::uint64_t version() const;
    std::uint64_t applied_index() const;
    std::shared_ptr<const std::string> document_text() const;
    std::string last_operator() const;

    /// Returns the owner records, sorted by data centre.
    std::vector<wire::owner_record> owners() const;

    /// Returns the evacuations in force.
    wire::evacuation_set evacuations() const;

    /// Returns up to `limit` audit records with a sequence above `after`.
    std::vector<wire::audit_record> audit(std::uint64_t after,
                                          std::size_t limit) const;

    /// Returns version, document, owners, evacuations and applied index of one
    /// moment.
    config_view view() const;

private:
    wire::command_outcome apply_document(const wire::control_command& command);
    wire::command_outcome apply_owner(const wire::owner_record& record);
    wire::command_outcome conflict(std::uint64_t base_version) const;
    void remember(const std::string& request_id,
                  const wire::command_outcome& outcome);
    std::vector<wire::owner_record> sorted_owners() const;

    mutable std::shared_mutex mutex_;
    std::uint64_t version_ = 0;
    std::uint64_t applied_ = 0;
    std::shared_ptr<const std::string> document_;
    std::string last_operator_;
    std::map<std::string, wire::owner_record> owners_;
    evacuation_table evacuations_;
    audit_trail audit_;
    std::deque<std::string> remembered_ids_; // Oldest first.
    std::unordered_map<std::string, wire::command_outcome> outcomes_;
    std::deque<wire::past_version> past_; // The last one is the current.
};

} // namespace limpetstack

#pragma once

#include "base/clock.hpp"
#include "peer.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack
{

struct ownership_options
{
    /// Least time between two changes of one data centre's record, and the
    /// time in which hosts are awaited before the first one.
    milliseconds host_timeout{2000};
    /// A journal that nobody holds is given up after this time, in which a
    /// host with a disk may return with it.
    milliseconds lost_timeout{30000};
};

/// One host as the deciding host knows it.
struct ownership_host
{
    wire::host_entry entry;
    bool live = false; // Heard of within the host timeout.
};

/// Decides which owner records to propose. Runs on the control leader; another
/// leader may start with an empty one, and only waits longer then. Safety does
/// not depend on what it sees: the control log accepts one record for each
/// epoch, and a host takes a role only when its own journal allows it.
class ownership
{
public:
    explicit ownership(ownership_options options);

    /// Returns the records to propose now, at most one for each data centre.
    std::vector<wire::owner_record>
    propose(const std::vector<wire::owner_record>& records,
            const std::vector<ownership_host>& hosts, time_point now);

private:
    struct data_centre_state
    {
        std::uint64_t epoch = 0;
        time_point quiet_until; // No proposal before.
        std::optional<time_point> lost_since;
    };

    std::optional<wire::owner_record>
    first_record(const std::string& data_centre,
                 const std::vector<ownership_host>& hosts) const;
    std::optional<wire::owner_record>
    next_record(const wire::owner_record& current,
                const std::vector<ownership_host>& hosts,
                data_centre_state& state, time_point now) const;

    ownership_options options_;
    std::map<std::string, data_centre_state> states_;
};

/// Returns the host that the owner without a copy should prepare as its copy:
/// live, not draining, with a disk if there is one; empty for none.
std::string choose_candidate(const wire::owner_record& record,
                             const std::vector<ownership_host>& hosts);

} // namespace limpetstack

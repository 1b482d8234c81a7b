#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limpetstack::wire
{
class job_record;
class request_record;
class transition_response;
} // namespace limpetstack::wire

namespace limpetstack
{

/// The journal of this host's data centre, as its owner writes it. All calls
/// may come from several threads.
class owned_journal
{
public:
    virtual ~owned_journal() = default;

    /// True while this host may write: it is the owner of the newest epoch it
    /// knows of.
    virtual bool owned() const = 0;
    virtual std::uint64_t epoch() const = 0;
    virtual std::uint64_t incarnation() const = 0;

    /// Makes a transition of a request's record durable, when it is allowed
    /// from the current phase; blocks until then.
    virtual wire::transition_response
    transition(const wire::request_record& record) = 0;

    /// Makes a job's record durable; blocks until then. After an error the
    /// record may or may not become durable later.
    virtual absl::Status write_job(const wire::job_record& record) = 0;

    virtual std::vector<wire::job_record> jobs() const = 0;
    virtual std::optional<wire::job_record>
    job(const std::string& id) const = 0;
};

} // namespace limpetstack

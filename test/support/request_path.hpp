#pragma once

#include "base/metrics.hpp"
#include "base/system_timer_service.hpp"
#include "coordination/dispatcher.hpp"
#include "limpetstack/document.hpp"
#include "peer.pb.h"
#include "state/registry.hpp"
#include "support/fake_journal.hpp"
#include "support/fake_upstreams.hpp"
#include "support/soft_state_cluster.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace limpetstack
{

/// Returns a document with the account `addis` and its services `pay`, which is
/// not idempotent, and `check`, which is and has three attempts.
inline std::shared_ptr<const document> request_document()
{
    document out;
    client_account account;
    account.name = "addis";
    account.services = {{"pay", false, milliseconds(20000), 1},
                        {"check", true, milliseconds(20000), 3}};
    out.client_accounts = {account};
    return std::make_shared<const document>(out);
}

/// Returns a request of the account `addis` as a dispatcher gets it.
inline wire::forwarded_request make_request(const std::string& service,
                                            const std::string& id,
                                            milliseconds deadline)
{
    wire::forwarded_request out;
    out.set_id(id);
    out.set_account("addis");
    out.set_caller("clerk");
    out.set_service(service);
    out.set_body("body of " + id);
    out.set_idempotent(service == "check");
    out.set_data_centre("dc1");
    out.set_deadline_ms(static_cast<std::uint32_t>(deadline.count()));
    return out;
}

/// Upstreams and a journal of the data centre dc1 in memory, for dispatchers.
class request_path
{
public:
    explicit request_path(std::uint64_t seed = 1)
        : upstreams(seed)
        , journal(seed)
    {
        own.host = "h0";
        own.data_centre = "dc1";
    }

    /// Announces an upstream of both services under its name as address.
    void announce(const std::string& name, std::uint32_t slots = 8)
    {
        for (const char* service : {"pay", "check"})
        {
            auto entry = make_upstream(name + service, "dc1");
            entry.set_service(service);
            entry.set_address(name);
            entry.set_slots(slots);
            state.merge(entry, timers.now());
        }
    }

    std::unique_ptr<dispatcher> make_dispatcher()
    {
        auto out = std::make_unique<dispatcher>(
            own, state, upstreams, timers, counters, request_document,
            [this](const wire::request_record& record)
            {
                return journal.decide(record);
            },
            [this]
            {
                return evacuated.load();
            });
        out->start();
        return out;
    }

    settings own;
    std::atomic<bool> evacuated{false}; // dc1
    system_timer_service timers{2};
    metrics counters;
    registry state{milliseconds(600000), milliseconds(600000)};
    fake_upstreams upstreams;
    fake_journal journal;
};

} // namespace limpetstack

#include "daemon/fleet/core_node.hpp"

#include "base/log.hpp"

#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds tick_interval{50};

constexpr milliseconds heartbeat_interval{100};

// Ping interval, silence timeout and redial delay of connections to peers.
constexpr peer_links_options link_options{milliseconds(300), milliseconds(900),
                                          milliseconds(200)};

// Incoming connections that are silent this long are closed. Peers ping at
// least twice a second.
constexpr milliseconds peer_silence_timeout{3000};

constexpr char disk_probe_file[] = "disk-probe";

constexpr milliseconds disk_probe_interval{500};

constexpr std::uint32_t max_control_body_bytes = 8U << 20U;

consensus_options make_consensus_options(const node_settings& settings,
                                         std::uint64_t id,
                                         milliseconds election_timeout)
{
    consensus_options options;
    options.id = id;
    options.peer_address = settings.peer_address;
    options.heartbeat = heartbeat_interval;
    options.election_timeout = election_timeout;
    options.seed = id;
    return options;
}

} // namespace

core_node::core_node(boost::asio::io_context& io, const node_settings& settings,
                     const external_protocol& protocol, replica_storage storage,
                     metrics& counters)
    : io_(io)
    , settings_(settings)
    , limits_(limits_of(settings))
    , counters_(counters)
    , protocol_(protocol)
    , storage_(std::move(storage))
    , disk_(io, counters)
    , listener_(io,
                [this](const std::shared_ptr<frame_connection>& from,
                       const peer_frame& frame)
                {
                    on_peer_frame(from, frame);
                })
    , control_(io, "",
               [this](http_server_request request, http_responder respond)
               {
                   handle_control(std::move(request), std::move(respond));
               })
    , timer_(io)
    , disk_timer_(io)
    , service_(protocol, state_, service_dependencies())
{
    settings_.workers.leadership_overlap =
        max_leadership_overlap(election_timeout);
    settings_.scheduler.max_live_runs = limits_.live_runs;
    consensus_runner::callbacks callbacks;
    callbacks.send = [this](const wire::consensus_message& message)
    {
        send_message(message);
    };
    callbacks.on_applied =
        [this](const fleet_command& command, apply_result result)
    {
        if (command.has_put_document() && result == apply_result::changed)
        {
            use_document();
        }
        if (command.has_evacuation())
        {
            report_evacuations();
        }
        if (command.has_accept() && result == apply_result::changed &&
            !leadership_)
        {
            log_stored_job(command.accept());
        }
        if (leadership_)
        {
            const auto now = boot_now();
            leadership_->workers.on_applied(command, result, now);
            leadership_->scheduler.on_applied(command, result, now);
        }
    };
    callbacks.on_batch_applied = [this]
    {
        if (leadership_)
        {
            leadership_->workers.advance(boot_now());
        }
    };
    callbacks.on_state_restored = [this]
    {
        end_leadership();
        use_document();
        report_evacuations();
    };
    callbacks.on_disk_error = [this](const absl::Status& status)
    {
        log_event(log_level::error, "disk_failed",
                  {{"reason", std::string(status.message())}});
        end_leadership();
        exit_when_disk_recovers();
    };
    runner_ = std::make_unique<consensus_runner>(
        make_consensus_options(settings_, storage_.id, election_timeout),
        storage_.content, *storage_.log, disk_, state_, std::move(callbacks),
        boot_now(), limits_.log);
    storage_.content = {};
    use_document();
    report_evacuations();
    links_ = std::make_unique<peer_links>(
        io_, link_options,
        [this]
        {
            ping out;
            auto& from = *out.mutable_from();
            from.set_name(settings_.name);
            from.set_core(true);
            from.set_peer_address(settings_.peer_address);
            from.set_replica(storage_.id);
            from.set_data_centre(settings_.data_centre);
            from.set_applies_evacuations(true);
            return out;
        },
        [this](const std::string&, const peer_frame& frame)
        {
            on_link_frame(frame);
        },
        [](const std::string& address, bool up)
        {
            log_event(log_level::info, up ? "peer_up" : "peer_down",
                      {{"peer", address}});
        });
    update_targets();
}

core_node::~core_node()
{
    lifetime_.reset();
}

bool core_node::start()
{
    http_server_limits limits;
    limits.max_body_bytes = max_control_body_bytes;
    control_.set_limits(limits);
    control_.set_capacity(
        capacity_for(settings_.memory_bytes, settings_.max_descriptors),
        &counters_);
    listener_.set_limits(limits_.peers, &counters_);
    if (!listener_.listen(settings_.peer_address) ||
        (!settings_.control_address.empty() &&
         !control_.listen(settings_.control_address)))
    {
        return false;
    }
    counters_.set("job_room_limit_bytes",
                  static_cast<double>(limits_.job_room));
    schedule_tick();
    return true;
}

// Logs a job that this host did not accept itself: another leader did, or this
// host did before it restarted.
void core_node::log_stored_job(const accepted_job& job) const
{
    log_event(log_level::info, "job_stored",
              {{"job", job.id()},
               {"queue", job.queue()},
               {"account", job.account()},
               {"accepted_ms", absl::StrCat(job.accepted_ms())},
               {"term", absl::StrCat(runner_->replica().term())}});
}

void core_node::reload(const node_settings& settings)
{
    settings_.seeds = settings.seeds;
    update_targets();
}

void core_node::stop()
{
    stopping_ = true;
    end_leadership();
    control_.start_draining();
    control_.close_idle();
}

void core_node::schedule_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this, lifetime = std::weak_ptr<int>(lifetime_)](
            boost::system::error_code error)
        {
            if (!error && !lifetime.expired())
            {
                on_tick();
                schedule_tick();
            }
        });
}

void core_node::on_tick()
{
    runner_->tick(boot_now());
    update_leadership();
    run_due_work();
    fail_expired_calls();
    counters_.set("job_room_used_bytes",
                  static_cast<double>(state_.jobs_cost()));
    listener_.close_idle(peer_silence_timeout);
}

// After a failed write it is unknown which state in memory is also on the disk.
// The host continues to forward calls to the leader, and the process exits, to
// be started again, once the disk accepts writes.
void core_node::exit_when_disk_recovers()
{
    disk_.run(
        [this]
        {
            return storage_.folder->replace_file(disk_probe_file, "probe");
        },
        [this](const absl::Status& status)
        {
            if (status.ok())
            {
                log_event(log_level::info, "disk_recovered", {});
                flush_log();
                std::_Exit(EXIT_FAILURE);
            }
            disk_timer_.expires_after(disk_probe_interval);
            disk_timer_.async_wait(
                [this, lifetime = std::weak_ptr<int>(lifetime_)](
                    boost::system::error_code error)
                {
                    if (!error && !lifetime.expired())
                    {
                        exit_when_disk_recovers();
                    }
                });
        });
}

} // namespace limpetstack::fleet

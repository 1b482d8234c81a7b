#include "daemon/fleet/core_node.hpp"

#include "base/log.hpp"

#include <cstdlib>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds tick_interval{50};

constexpr milliseconds heartbeat{100};

// A leader that is not heard for this long is replaced; it stops leading when
// it has not heard a majority for as long.
constexpr milliseconds election_timeout{600};

constexpr peer_links_options link_options{milliseconds(300), milliseconds(900),
                                          milliseconds(200)};

// Peers ping at least twice a second.
constexpr milliseconds peer_silence{3000};

constexpr char probe_file[] = "disk-probe";

constexpr milliseconds disk_probe_interval{500};

constexpr std::uint32_t max_control_body = 8U << 20U;

consensus_options options_for(const node_settings& settings, std::uint64_t id)
{
    consensus_options options;
    options.id = id;
    options.peer_address = settings.peer_address;
    options.heartbeat = heartbeat;
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
    , service_(protocol, state_, service_parts())
{
    consensus_runner::effects effects;
    effects.send = [this](const wire::consensus_message& message)
    {
        send_message(message);
    };
    effects.on_applied =
        [this](const fleet_command& command, apply_result result)
    {
        if (command.has_put_document() && result == apply_result::changed)
        {
            use_document();
        }
        if (leading_)
        {
            const auto now = boot_now();
            leading_->workers.on_applied(command, result, now);
            leading_->scheduler.on_applied(command, result, now);
        }
    };
    effects.on_batch = [this]
    {
        if (leading_)
        {
            leading_->workers.advance(boot_now());
        }
    };
    effects.on_restored = [this]
    {
        leading_.reset();
        use_document();
    };
    effects.on_disk_error = [this](const absl::Status& status)
    {
        log_event(log_level::error, "disk_failed",
                  {{"reason", std::string(status.message())}});
        leading_.reset();
        wait_for_disk();
    };
    runner_ = std::make_unique<consensus_runner>(
        options_for(settings_, storage_.id), storage_.content, *storage_.log,
        disk_, state_, std::move(effects), boot_now());
    storage_.content = {};
    use_document();
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
    alive_.reset();
}

bool core_node::start()
{
    http_server_limits limits;
    limits.max_body_bytes = max_control_body;
    control_.set_limits(limits);
    if (!listener_.listen(settings_.peer_address) ||
        (!settings_.control_address.empty() &&
         !control_.listen(settings_.control_address)))
    {
        return false;
    }
    schedule_tick();
    return true;
}

void core_node::reload(const node_settings& settings)
{
    settings_.seeds = settings.seeds;
    update_targets();
}

void core_node::stop()
{
    stopping_ = true;
    leading_.reset();
    control_.start_draining();
    control_.close_idle();
}

void core_node::schedule_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this,
         alive = std::weak_ptr<int>(alive_)](boost::system::error_code error)
        {
            if (!error && !alive.expired())
            {
                on_tick();
                schedule_tick();
            }
        });
}

void core_node::on_tick()
{
    runner_->tick(boot_now());
    follow_leadership();
    work();
    fail_forwarded();
    listener_.close_idle(peer_silence);
}

// After a failed write nothing in memory can be trusted to be on the disk. The
// host goes on passing calls to the leader and starts anew once the disk takes
// writes again.
void core_node::wait_for_disk()
{
    disk_.run(
        [this]
        {
            return storage_.folder->replace_file(probe_file, "probe");
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
                [this, alive = std::weak_ptr<int>(alive_)](
                    boost::system::error_code error)
                {
                    if (!error && !alive.expired())
                    {
                        wait_for_disk();
                    }
                });
        });
}

} // namespace limpetstack::fleet

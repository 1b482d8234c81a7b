#include "daemon/fleet/fleet_daemon.hpp"

#include "base/log.hpp"
#include "base/metrics.hpp"
#include "daemon/fleet/core_node.hpp"
#include "daemon/fleet/entry_node.hpp"
#include "state/file_io.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <cstdlib>
#include <memory>
#include <thread>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds settings_check_interval{1000};
constexpr milliseconds log_flush_interval{200};
constexpr milliseconds stop_check_interval{50};
constexpr milliseconds storage_retry_delay{1000};

// After the signal to stop, a core host runs on for this long, so that another
// host takes over the leadership and calls that have begun are answered.
constexpr milliseconds core_stop_duration{400};

// The process stops this long before the time at which it would be killed.
constexpr milliseconds stop_margin{700};

constexpr http_server_capacity metrics_capacity{4U << 20U, 64};

// Runs the nodes of one host, the metrics server, the log writer and the
// handling of signals and of changed settings.
class daemon
{
public:
    daemon(const fleet_daemon_options& options, node_settings settings,
           std::string settings_text)
        : options_(options)
        , settings_(std::move(settings))
        , settings_text_(std::move(settings_text))
        , signals_(io_, SIGTERM, SIGINT, SIGHUP)
        , settings_timer_(io_)
        , log_timer_(io_)
        , stop_timer_(io_)
        , metrics_server_(
              io_, "",
              [this](const http_server_request&, const http_responder& respond)
              {
                  respond({200, counters_.text(), 0, "text/plain"});
              })
    {
    }

    bool start()
    {
        if (settings_.is_core())
        {
            auto storage = open_replica(settings_);
            if (!storage.ok())
            {
                log_event(
                    log_level::error, "storage_unusable",
                    {{"reason", std::string(storage.status().message())}});
                return false;
            }
            core_ =
                std::make_unique<core_node>(io_, settings_, options_.protocol,
                                            std::move(*storage), counters_);
        }
        if (!settings_.caller_address.empty())
        {
            entry_ = std::make_unique<entry_node>(
                io_, settings_, options_.deadline_header, counters_);
        }
        if ((core_ && !core_->start()) || (entry_ && !entry_->start()))
        {
            log_event(log_level::error, "address_unusable", {});
            return false;
        }
        metrics_server_.set_capacity(metrics_capacity, &counters_);
        if (!metrics_server_.listen(settings_.metrics_address))
        {
            log_event(log_level::warning, "metrics_unavailable",
                      {{"address", settings_.metrics_address}});
        }
        wait_for_signal();
        reload_periodically();
        flush_log_periodically();
        return true;
    }

    void run() { io_.run(); }

private:
    void wait_for_signal()
    {
        signals_.async_wait(
            [this](boost::system::error_code error, int signal)
            {
                if (error)
                {
                    return;
                }
                if (signal == SIGHUP)
                {
                    reload();
                }
                else
                {
                    stop();
                }
                wait_for_signal();
            });
    }

    void reload_periodically()
    {
        settings_timer_.expires_after(settings_check_interval);
        settings_timer_.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    reload();
                    reload_periodically();
                }
            });
    }

    void flush_log_periodically()
    {
        flush_log();
        log_timer_.expires_after(log_flush_interval);
        log_timer_.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    flush_log_periodically();
                }
            });
    }

    void reload()
    {
        const auto text = read_whole_file(options_.settings_path);
        if (!text.ok() || *text == settings_text_)
        {
            return;
        }
        const auto settings = options_.decode_settings(*text);
        if (!settings.ok())
        {
            log_event(log_level::warning, "settings_refused",
                      {{"reason", std::string(settings.status().message())}});
            return;
        }
        settings_text_ = *text;
        log_event(log_level::info, "settings_reloaded", {});
        if (core_)
        {
            core_->reload(*settings);
        }
        if (entry_)
        {
            entry_->reload(*settings);
        }
    }

    void stop()
    {
        if (stopping_)
        {
            return;
        }
        stopping_ = true;
        log_event(log_level::info, "stopping", {});
        stop_deadline_ = boot_now() + settings_.stop_grace - stop_margin;
        if (core_)
        {
            core_->stop();
            stop_deadline_ = boot_now() + core_stop_duration;
        }
        if (entry_)
        {
            entry_->stop();
        }
        wait_until_stopped();
    }

    void wait_until_stopped()
    {
        if (boot_now() >= stop_deadline_ ||
            (entry_ && !core_ && entry_->is_idle()))
        {
            log_event(log_level::info, "stopped", {});
            io_.stop();
            return;
        }
        stop_timer_.expires_after(stop_check_interval);
        stop_timer_.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    wait_until_stopped();
                }
            });
    }

    const fleet_daemon_options& options_;
    node_settings settings_;
    std::string settings_text_;
    boost::asio::io_context io_{1};
    boost::asio::signal_set signals_;
    boost::asio::steady_timer settings_timer_;
    boost::asio::steady_timer log_timer_;
    boost::asio::steady_timer stop_timer_;
    metrics counters_;
    http_server metrics_server_;
    std::unique_ptr<core_node> core_;
    std::unique_ptr<entry_node> entry_;
    bool stopping_ = false;
    time_point stop_deadline_;
};

} // namespace

int run_fleet_daemon(const fleet_daemon_options& options)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto text = read_whole_file(options.settings_path);
    if (!text.ok())
    {
        configure_log("unknown");
        log_event(log_level::error, "settings_unreadable",
                  {{"reason", std::string(text.status().message())}});
        return EXIT_FAILURE;
    }
    auto settings = options.decode_settings(*text);
    if (!settings.ok())
    {
        configure_log("unknown");
        log_event(log_level::error, "settings_refused",
                  {{"reason", std::string(settings.status().message())}});
        return EXIT_FAILURE;
    }
    configure_buffered_log(settings->name);
    log_event(log_level::info, "started",
              {{"data_centre", settings->data_centre},
               {"role", settings->is_core() ? "core" : "entry"},
               {"first_start", settings->first_start ? "yes" : "no"}});
    daemon host(options, std::move(*settings), *text);
    if (!host.start())
    {
        flush_log();
        return EXIT_FAILURE;
    }
    host.run();
    flush_log();
    return EXIT_SUCCESS;
}

} // namespace limpetstack::fleet

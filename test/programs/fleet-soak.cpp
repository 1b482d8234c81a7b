// Randomized soak test of the fleet daemon. The hosts are real processes on
// loopback addresses; the workers and the callers are simulated in this
// program. The program injects faults: it stops, pauses, kills and restarts
// hosts, and relays cut the links to workers in one or both directions or close
// them. Workers crash and restart under their ids, and leave. Documents take
// the callers' key and queue away and bring them back. It checks what workers
// and callers observe:
// - A subtask never has two runs at once.
// - A subtask does not start again after its end was recorded.
// - No worker gets more runs than its capacity allows.
// - No job starts of which every call was refused.
// - No accepted job is forgotten, and in the end every accepted job is
// complete, or cancelled and without a run.
#include "experiment/process.hpp"
#include "experiment/relay.hpp"
#include "support/soak_jobs.hpp"
#include "support/soak_workers.hpp"
#include "transport/http_channel.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace limpetstack;
using namespace limpetstack::fleet;
using nlohmann::json;

constexpr int core_count = 3;
constexpr int default_entry_count = 2;
constexpr int worker_count = 6;
constexpr milliseconds step_time{50}; // Duration of one call of tick().
constexpr std::int64_t milliseconds_per_day = 86400000;
constexpr milliseconds report_timeout{900};
constexpr milliseconds job_call_timeout{3500};

// Wait limit for open jobs to complete after the last fault.
constexpr milliseconds settle_time{45000};

struct host
{
    std::string name;
    std::string settings; // Path of the settings file.
    std::string log;      // Path of the log file.
    std::unique_ptr<test::process> process;
    bool core = false;
    bool paused = false;
    bool ending = false; // This program killed it or told it to stop.
    bool ended = false;  // check_ends() has seen its end.
    time_point back_at;  // When it is restarted or resumed.
};

class soak
{
public:
    soak(unsigned seed, std::string folder, int entry_count)
        : random_(seed)
        , entry_count_(entry_count)
        , workers_(io_, worker_count, seed + 1, rules_,
                   [this](const std::string& method, const std::string& target,
                          std::string body,
                          const std::function<void(unsigned)>& done)
                   {
                       any_control().send(
                           method, target, {}, std::move(body), report_timeout,
                           [done](const http_channel_answer& answer)
                           {
                               done(answer.status);
                           });
                   })
        , folder_(std::move(folder))
        , peer_port_(test::free_port())
        , control_port_(test::free_port())
        , front_port_(test::free_port())
        , ready_port_(test::free_port())
        , jobs_(rules_, seed + 2,
                [this](const std::string& method, const std::string& target,
                       std::string body, const soak_jobs::answer_handler& done)
                {
                    any_front().send(method, target,
                                     {{"Authorization", "Bearer key"}},
                                     std::move(body), job_call_timeout, done);
                })
    {
        for (int i = 0; i < core_count + entry_count_; ++i)
        {
            add_host(i);
        }
    }

    int run(int seconds)
    {
        for (auto& item : hosts_)
        {
            start(item, true);
        }
        const auto end = steady_now() + std::chrono::seconds(seconds);
        while (steady_now() < end)
        {
            tick(true);
            if (version_ > 1 || document_accepted_)
            {
                jobs_.submit_large_job();
            }
        }
        workers_.open_links();
        const auto last = steady_now() + settle_time;
        while (steady_now() < last && !jobs_.all_over())
        {
            tick(false);
        }
        return report();
    }

private:
    void add_host(int i)
    {
        host item;
        item.core = i < core_count;
        item.name = (item.core ? "core-" : "entry-") + std::to_string(i);
        item.settings = folder_ + "/" + item.name + ".json";
        item.log = folder_ + "/" + item.name + ".log";
        hosts_.push_back(std::move(item));
    }
    static std::string ip(std::size_t i)
    {
        return "127.0.1." + std::to_string(i + 1);
    }

    void write_settings(std::size_t i, bool first)
    {
        const auto& item = hosts_[i];
        json listen;
        if (item.core)
        {
            listen["control"] = ip(i) + ":" + std::to_string(control_port_);
        }
        else
        {
            listen["front"] = ip(i) + ":" + std::to_string(front_port_);
            listen["ready"] = ip(i) + ":" + std::to_string(ready_port_);
        }
        json seeds = json::array();
        for (int k = 0; k < core_count; ++k)
        {
            seeds.push_back(ip(static_cast<std::size_t>(k)) + ":" +
                            std::to_string(control_port_));
        }
        json settings{{"node_name", item.name},
                      {"ip", ip(i)},
                      {"zone", "z" + std::to_string(i)},
                      {"listen", listen},
                      {"port_range", {peer_port_, peer_port_}},
                      {"seeds", seeds},
                      {"bootstrap", first},
                      {"heartbeat_ms", 500},
                      {"fault_tolerance", {{"machines", 1}}},
                      {"bounds", {{"stop_ms", 300}, {"max_hold_ms", 6000}}}};
        if (item.core)
        {
            settings["data_dir"] = folder_ + "/" + item.name;
        }
        std::ofstream(item.settings) << settings.dump();
    }

    void start(host& item, bool first)
    {
        const auto i = static_cast<std::size_t>(&item - hosts_.data());
        print_fault(item, "started");
        write_settings(i, first);
        setenv("LIMPETSTACK_NODE_FILE", item.settings.c_str(), 1);
        item.process = std::make_unique<test::process>(
            test::program_folder() + "/limpetstack-fleetd",
            std::vector<std::string>{}, item.log);
        item.paused = false;
        item.ending = false;
        item.ended = false;
    }

    // Prints what is done to a host, with the time as in the hosts' logs.
    static void print_fault(const host& item, const char* action)
    {
        const auto ms = wall_clock_ms() % milliseconds_per_day;
        std::printf(
            "%02d:%02d:%02d.%03d %s %s\n", static_cast<int>(ms / 3600000),
            static_cast<int>(ms / 60000 % 60), static_cast<int>(ms / 1000 % 60),
            static_cast<int>(ms % 1000), item.name.c_str(), action);
    }

    // Checks that no host ended by itself, and that those that were told to
    // stop returned no error.
    void check_ends()
    {
        for (auto& item : hosts_)
        {
            if (item.ended || item.process->running())
            {
                continue;
            }
            item.ended = true;
            const int code = item.process->wait();
            if (!item.ending || (code != 0 && code != 128 + SIGKILL))
            {
                rules_.violations.push_back(item.name + " ended with code " +
                                            std::to_string(code));
            }
        }
    }

    // Handles events for `step_time`. Submits jobs and injects faults when
    // `disturb` is set.
    void tick(bool disturb)
    {
        io_.restart();
        io_.run_for(step_time);
        const auto now = steady_now();
        workers_.advance(now);
        check_ends();
        bring_back(now);
        if (now - last_report_ >= milliseconds(500))
        {
            last_report_ = now;
            put_document(disturb);
            workers_.report(now);
            jobs_.poll();
        }
        if (!disturb)
        {
            return;
        }
        if (random_() % 10 == 0)
        {
            jobs_.submit();
        }
        if (random_() % 60 == 0)
        {
            disturb_host(now);
        }
        if (random_() % 40 == 0)
        {
            workers_.disturb(now);
        }
    }

    // Pauses, kills or stops a random host, unless another host of the same
    // kind is away. The end of one host's absence may overlap with the next
    // fault, because a host that was started again may not be ready yet.
    void disturb_host(time_point now)
    {
        auto& item = hosts_[random_() % hosts_.size()];
        for (const auto& other : hosts_)
        {
            if (other.core == item.core && other.back_at > now)
            {
                return;
            }
        }
        item.back_at = now + milliseconds(500 + random_() % 4000);
        switch (random_() % 3)
        {
        case 0:
            print_fault(item, "paused");
            item.process->signal(SIGSTOP);
            item.paused = true;
            break;
        case 1:
            print_fault(item, "killed");
            item.ending = true;
            item.process->kill();
            break;
        default:
            print_fault(item, "told to stop");
            item.ending = true;
            item.process->signal(SIGTERM);
        }
    }

    // Resumes paused hosts and restarts ended ones whose time has come.
    void bring_back(time_point now)
    {
        for (auto& item : hosts_)
        {
            if (item.back_at > now)
            {
                continue;
            }
            if (item.paused)
            {
                print_fault(item, "resumed");
                item.process->signal(SIGCONT);
                item.paused = false;
            }
            else if (!item.process->running())
            {
                start(item, false);
            }
        }
    }

    http_channel& channel(const std::string& address)
    {
        auto& item = channels_[address];
        if (!item)
        {
            item = std::make_unique<http_channel>(io_, address);
        }
        return *item;
    }

    http_channel& any_control()
    {
        return channel(ip(random_() % core_count) + ":" +
                       std::to_string(control_port_));
    }

    http_channel& any_front()
    {
        return channel(
            ip(core_count + random_() % static_cast<unsigned>(entry_count_)) +
            ":" + std::to_string(front_port_));
    }

    // Sends the next document: at first and in the end one that has the
    // callers' key and queue, in between one that may lack them.
    void put_document(bool disturb)
    {
        if (document_accepted_ && (disturb ? random_() % 3 == 0 : !complete_))
        {
            document_accepted_ = false;
            ++version_;
            complete_ = !disturb;
            has_key_ = complete_ || random_() % 2 == 0;
            has_queue_ = complete_ || random_() % 5 != 0;
        }
        if (document_accepted_)
        {
            return;
        }
        const json queue{{"name", "q"},        {"host", "localhost"},
                         {"prefix", "/q/"},    {"service", "s"},
                         {"timeout_ms", 3000}, {"attempts", 3},
                         {"priority", 1},      {"stretch", 3.0}};
        // Is always there, so that states are read and jobs cancelled.
        auto public_queue = queue;
        public_queue["name"] = "p";
        public_queue["prefix"] = "/p/";
        public_queue["public"] = true;
        const json document{
            {"version", version_},
            {"routes",
             has_queue_ ? json{public_queue, queue} : json{public_queue}},
            {"services", {{{"name", "s"}}}},
            {"tenants",
             {{{"name", "t"}, {"keys", {has_key_ ? "key" : "other"}}}}}};
        any_control().send(
            "PUT", "/-/config", {}, document.dump(), milliseconds(1000),
            [this, sent = version_](const http_channel_answer& answer)
            {
                document_accepted_ |= answer.status == 200 && sent == version_;
            });
    }

    int report()
    {
        const auto open = jobs_.open_jobs();
        for (const auto& job : open)
        {
            std::printf("not over: %s\n", job.c_str());
        }
        if (jobs_.has_run_of_endless_job())
        {
            rules_.violations.push_back("a run of a cancelled job goes on");
        }
        for (const auto& text : rules_.violations)
        {
            std::printf("broken: %s\n", text.c_str());
        }
        std::printf(
            "soak: %zu jobs accepted, %zu refused, %zu starts, %zu broken "
            "rules, %zu jobs not complete\n",
            jobs_.accepted(), jobs_.refused(), rules_.starts,
            rules_.violations.size(), open.size());
        return jobs_.accepted() == 0 || !open.empty() ||
                       !rules_.violations.empty()
                   ? EXIT_FAILURE
                   : EXIT_SUCCESS;
    }

    std::mt19937 random_;
    const int entry_count_;
    boost::asio::io_context io_;
    soak_rules rules_;
    soak_workers workers_;
    const std::string folder_;
    const int peer_port_;
    const int control_port_;
    const int front_port_;
    const int ready_port_;
    std::vector<host> hosts_;
    std::map<std::string, std::unique_ptr<http_channel>> channels_;
    soak_jobs jobs_;
    int version_ = 1; // Of the last document.
    bool document_accepted_ = false;
    bool has_key_ = true;    // The last document has the callers' key.
    bool has_queue_ = true;  // The last document has the callers' queue.
    bool complete_ = false;  // The last document is the one of the end.
    time_point last_report_; // Of the workers.
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4 && argc != 5)
    {
        std::fprintf(stderr,
                     "usage: fleet-soak SECONDS SEED FOLDER [ENTRY_HOSTS]\n");
        return EXIT_FAILURE;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // A new folder for each run, so that hosts do not read the state of an
    // earlier run.
    std::filesystem::create_directories(argv[3]);
    std::string folder = std::string(argv[3]) + "/soak-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr)
    {
        std::perror(folder.c_str());
        return EXIT_FAILURE;
    }
    int code = EXIT_FAILURE;
    {
        soak run(static_cast<unsigned>(std::atoi(argv[2])), folder,
                 argc > 4 ? std::atoi(argv[4]) : default_entry_count);
        code = run.run(std::atoi(argv[1]));
    } // Ends the hosts, which write to the folder until then.
    if (code == EXIT_SUCCESS)
    {
        std::filesystem::remove_all(folder);
    }
    return code;
}

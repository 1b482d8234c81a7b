// Measures the data centre journal: writes of an owner with a copy in the same
// process, bytes per record, and recovery. Prints one line per measure.
// Usage: journal_bench [FOLDER]  (default: a new one in the system's temporary
// folder)
#include "base/manual_timer_service.hpp"
#include "base/metrics.hpp"
#include "coordination/journal_replicator.hpp"
#include "state/request_id.hpp"
#include "support/fake_peer_network.hpp"

#include <malloc.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <thread>

namespace limpetstack
{
namespace
{

constexpr std::uint64_t job_count = 36000; // Running tasks of the target.
constexpr std::int64_t issued_ms = 1700000000000;

void print(const std::string& measure, double value, const char* unit)
{
    std::cout << "journal_bench measure=" << measure << " value=" << value
              << " unit=" << unit << '\n';
}

// Bytes that the calling thread's allocations hold.
double allocated_bytes()
{
    return static_cast<double>(::mallinfo2().uordblks);
}

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start)
        .count();
}

// An owner and its copy, on disk when a folder is given.
class pair_of_hosts
{
public:
    explicit pair_of_hosts(const std::string& folder)
        : network_(
              [this](const std::string&, const wire::journal_append& message,
                     milliseconds)
              {
                  return copy_->receive(message);
              })
        , owner_(open("a", folder))
        , copy_(open("b", folder))
    {
        wire::owner_record record;
        record.set_data_centre("dc1");
        record.set_epoch(1);
        record.set_incarnation(1);
        record.set_owner("a");
        record.set_copy("b");
        record.set_owner_store(owner_->status().store());
        record.set_copy_store(copy_->status().store());
        copy_->set_owner_record(record);
        owner_->set_owner_record(record);
    }

    journal_replicator& owner() { return *owner_; }

private:
    std::unique_ptr<journal_replicator> open(const std::string& host,
                                             const std::string& folder)
    {
        auto path = folder;
        if (!path.empty())
        {
            path += "/" + host;
            std::filesystem::create_directories(path);
        }
        journal_replicator_options options;
        options.host = host;
        options.data_centre = "dc1";
        options.copy_timeout = milliseconds(10000);
        options.wall_clock = []
        {
            return issued_ms;
        };
        auto content = journal::open_folder(path);
        if (!content.ok())
        {
            std::cerr << content.status() << '\n';
            std::exit(1);
        }
        return std::make_unique<journal_replicator>(
            options, *std::move(content), network_, timers_, counters_);
    }

    manual_timer_service timers_;
    metrics counters_;
    fake_peer_network network_;
    std::unique_ptr<journal_replicator> owner_;
    std::unique_ptr<journal_replicator> copy_;
};

wire::request_record request(std::uint64_t number, wire::request_phase phase)
{
    wire::request_record record;
    record.set_id(make_request_id("dc1", 1, issued_ms,
                                  "0123456789abcdef" + std::to_string(number)));
    record.set_phase(phase);
    record.set_account("addis");
    record.set_service("appraisal");
    record.set_body_hash(std::string(64, 'a'));
    if (phase == wire::request_done)
    {
        record.set_status(200);
        record.set_content_type("application/json");
        record.set_answer(std::string(200, 'x'));
    }
    return record;
}

wire::job_record job(std::uint64_t number)
{
    wire::job_record record;
    record.set_id(make_request_id("dc1", 1, issued_ms, std::to_string(number)));
    auto& spec = *record.mutable_spec();
    spec.set_account("addis");
    spec.set_service("appraisal");
    spec.set_members(1);
    spec.set_accelerators(1);
    spec.set_cores(4);
    spec.set_memory_mib(16384);
    spec.set_urgency("normal");
    spec.set_estimate_ms(3600000);
    spec.set_adjacency("any");
    spec.set_command("valuate --batch 17");
    record.set_state("running");
    record.set_attempt(1);
    auto& member = *record.add_placement();
    member.set_worker("worker-0123");
    member.set_rack("rack-07");
    member.set_address("10.0.0.1:9000");
    record.set_submitted_ms(issued_ms);
    record.set_started_ms(issued_ms);
    return record;
}

void measure_writes(const std::string& name, const std::string& folder,
                    int threads, std::uint64_t requests)
{
    pair_of_hosts hosts(folder);
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> workers;
    const auto step = static_cast<std::uint64_t>(threads);
    for (std::uint64_t first = 0; first < step; ++first)
    {
        workers.emplace_back(
            [&hosts, first, step, requests]
            {
                for (auto i = first; i < requests; i += step)
                {
                    hosts.owner().transition(request(i, wire::request_started));
                    hosts.owner().transition(request(i, wire::request_done));
                }
            });
    }
    for (auto& worker : workers)
    {
        worker.join();
    }
    const auto count = static_cast<double>(requests);
    print(name + "_threads_" + std::to_string(threads),
          2 * count / seconds_since(begin), "records/s");
    if (!folder.empty())
    {
        print("request_disk",
              static_cast<double>(hosts.owner().content().file_bytes()) / count,
              "bytes/request");
    }
}

// Bytes that the allocator hands out for one finished request and one job.
void measure_memory()
{
    const auto content = *journal::open_folder("");
    auto before = allocated_bytes();
    std::uint64_t sequence = 0;
    const auto add = [&](wire::journal_record record)
    {
        record.set_sequence(++sequence);
        if (!content->append({record}, 1, 1).ok())
        {
            std::exit(1);
        }
    };
    for (std::uint64_t i = 0; i < job_count; ++i)
    {
        wire::journal_record record;
        *record.mutable_request() = request(i, wire::request_done);
        add(record);
    }
    const auto count = static_cast<double>(job_count);
    print("request_memory", (allocated_bytes() - before) / count,
          "bytes/request");
    before = allocated_bytes();
    for (std::uint64_t i = 0; i < job_count; ++i)
    {
        wire::journal_record record;
        *record.mutable_job() = job(i);
        add(record);
    }
    print("job_memory", (allocated_bytes() - before) / count, "bytes/job");
    print("request_memory_estimate",
          static_cast<double>(content->requests().memory_bytes()) / count,
          "bytes/request");
    print("job_memory_estimate",
          static_cast<double>(content->jobs().memory_bytes()) / count,
          "bytes/job");
}

void measure_recovery(const std::string& folder)
{
    std::filesystem::create_directories(folder);
    {
        const auto content = *journal::open_folder(folder);
        std::vector<wire::journal_record> records;
        for (std::uint64_t i = 1; i <= job_count; ++i)
        {
            auto& record = records.emplace_back();
            record.set_sequence(i);
            record.set_epoch(1);
            *record.mutable_job() = job(i);
            if (records.size() == 100 || i == job_count)
            {
                if (!content->append(records, 1, 1).ok())
                {
                    std::exit(1);
                }
                records.clear();
            }
        }
        const auto count = static_cast<double>(job_count);
        print("job_disk", static_cast<double>(content->file_bytes()) / count,
              "bytes/job");
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto content = *journal::open_folder(folder);
    print("recovery_36000_jobs", 1000 * seconds_since(begin), "ms");
    const auto copying = std::chrono::steady_clock::now();
    const auto state = content->state();
    print("full_copy_state_36000_jobs", 1000 * seconds_since(copying), "ms");
}

int run(std::string folder)
{
    const bool own = folder.empty();
    if (own)
    {
        folder = (std::filesystem::temp_directory_path() /
                  "limpetstack-bench-XXXXXX")
                     .string();
        if (::mkdtemp(folder.data()) == nullptr)
        {
            std::cerr << "no temporary folder\n";
            return 1;
        }
    }
    measure_memory();
    for (const int threads : {1, 8, 32})
    {
        measure_writes("write_memory", "", threads, 20000);
        measure_writes("write_disk",
                       folder + "/write" + std::to_string(threads), threads,
                       threads == 1 ? 1000 : 5000);
    }
    measure_recovery(folder + "/recovery");
    if (own)
    {
        std::filesystem::remove_all(folder);
    }
    return 0;
}

} // namespace
} // namespace limpetstack

int main(int count, char** arguments)
{
    return limpetstack::run(count > 1 ? arguments[1] : "");
}

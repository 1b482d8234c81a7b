#pragma once

#include "base/manual_timer_service.hpp"
#include "base/metrics.hpp"
#include "coordination/config_distributor.hpp"
#include "coordination/config_file.hpp"
#include "coordination/peer_network.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetstack
{

/// Configuration file in memory that can be full, damaged or erased.
class memory_config_file : public config_file
{
public:
    absl::StatusOr<std::optional<std::string>> load() override;
    absl::Status save(const std::string& content) override;
    std::string path() const override { return "/data/config"; }

    std::optional<std::string> content;
    bool full = false;
    int saves = 0;
};

/// Several configuration distributors on one thread over a network with cuts
/// and lost answers, with a model of the control group: a voter that reaches a
/// majority of the voters can commit and confirm; every voter applies late.
/// Version N is a document with the account `vN`.
class config_cluster
{
public:
    struct host
    {
        peer_settings settings;
        std::shared_ptr<memory_config_file> file; // Null without a disk.
        manual_timer_service timers;
        metrics counters;
        std::unique_ptr<peer_network> network;
        std::unique_ptr<config_distributor> daemon;
        std::uint64_t applied = 0;        // By its control state.
        wire::evacuation_set evacuations; // As above.
        std::uint64_t highest = 0;        // Version ever in force.
        bool lose_next_answer = false;
    };

    /// Adds a host; `start` starts all of them.
    void add(const std::string& name, const std::string& data_centre, bool disk,
             bool votes);
    absl::Status start(const std::string& name);
    void start_all();

    /// Commits the next version through a voter that reaches a majority.
    bool commit();
    /// Lets a voter that reaches a majority apply what is committed.
    void apply(const std::string& name);
    void poll(const std::string& name);
    void cut(const std::string& a, const std::string& b);
    void heal();
    /// Cuts every link between this data centre and the others.
    void isolate(const std::string& data_centre);

    host& at(const std::string& name) { return *hosts_.at(name); }
    std::vector<std::string> names() const;
    std::uint64_t committed() const { return committed_; }
    std::uint64_t version(const std::string& name);

    wire::evacuation_set evacuations; // Committed.

    /// Returns what is wrong on any host: a version that went down, a document
    /// that is not the committed one, a version in force before its sync.
    std::string violation();

private:
    class network;

    bool reaches(const std::string& a, const std::string& b) const;
    bool reaches_majority(const std::string& name) const;
    absl::StatusOr<config_view> read_local(const std::string& name,
                                           bool confirmed);

    std::map<std::string, std::unique_ptr<host>> hosts_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::uint64_t committed_ = 0;
};

/// Returns the document of a version.
std::string cluster_document(std::uint64_t version);

} // namespace limpetstack

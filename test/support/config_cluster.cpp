#include "support/config_cluster.hpp"
#include "coordination/stored_config.hpp"
#include "support/unreachable_network.hpp"

#include <algorithm>

namespace limpetstack
{

class config_cluster::network : public unreachable_network
{
public:
    network(config_cluster& cluster, std::string from)
        : cluster_(cluster)
        , from_(std::move(from))
    {
    }

    absl::StatusOr<wire::config_response>
    read_config(const std::string& to, const wire::config_request& request,
                milliseconds /*timeout*/) override
    {
        auto& target = cluster_.at(to);
        if (!target.daemon || !cluster_.reaches(from_, to))
        {
            return absl::UnavailableError("unreachable");
        }
        auto answer = target.daemon->serve(request);
        if (std::exchange(cluster_.at(from_).lose_next_answer, false))
        {
            return absl::DeadlineExceededError("answer lost");
        }
        return answer;
    }

private:
    config_cluster& cluster_;
    const std::string from_;
};

absl::StatusOr<std::optional<std::string>> memory_config_file::load()
{
    return content;
}

absl::Status memory_config_file::save(const std::string& text)
{
    if (full)
    {
        return absl::ResourceExhaustedError("no space left on device");
    }
    ++saves;
    content = text;
    return absl::OkStatus();
}

void config_cluster::add(const std::string& name,
                         const std::string& data_centre, bool disk, bool votes)
{
    auto added = std::make_unique<host>();
    added->settings = {name, data_centre, "", disk, votes};
    if (disk)
    {
        added->file = std::make_shared<memory_config_file>();
    }
    added->network = std::make_unique<network>(*this, name);
    hosts_[name] = std::move(added);
}

absl::Status config_cluster::start(const std::string& name)
{
    auto& target = at(name);
    config_distributor::options options;
    options.data_centre = target.settings.data_centre;
    for (const auto& [other, entry] : hosts_)
    {
        if (other != name)
        {
            options.peers.push_back(entry->settings);
        }
    }
    config_distributor::local_reader reader;
    if (target.settings.votes)
    {
        reader = [this, name](bool confirmed)
        {
            return read_local(name, confirmed);
        };
    }
    target.daemon = nullptr;
    target.daemon = std::make_unique<config_distributor>(
        options, parse_document, *target.network, target.timers,
        target.counters, target.file, reader);
    return target.daemon->start();
}

void config_cluster::start_all()
{
    for (const auto& name : names())
    {
        static_cast<void>(start(name));
    }
}

bool config_cluster::commit()
{
    for (const auto& name : names())
    {
        if (reaches_majority(name))
        {
            ++committed_;
            apply(name);
            return true;
        }
    }
    return false;
}

void config_cluster::apply(const std::string& name)
{
    if (!reaches_majority(name))
    {
        return;
    }
    auto& target = at(name);
    target.applied = committed_;
    target.daemon->offer(committed_, cluster_document(committed_), {}, false);
}

void config_cluster::poll(const std::string& name)
{
    at(name).timers.advance(milliseconds(500));
}

void config_cluster::cut(const std::string& a, const std::string& b)
{
    cuts_.emplace(std::min(a, b), std::max(a, b));
}

void config_cluster::heal()
{
    cuts_.clear();
}

void config_cluster::isolate(const std::string& data_centre)
{
    for (const auto& [a, inside] : hosts_)
    {
        for (const auto& [b, outside] : hosts_)
        {
            if (inside->settings.data_centre == data_centre &&
                outside->settings.data_centre != data_centre)
            {
                cut(a, b);
            }
        }
    }
}

std::vector<std::string> config_cluster::names() const
{
    std::vector<std::string> result;
    for (const auto& [name, entry] : hosts_)
    {
        result.push_back(name);
    }
    return result;
}

std::uint64_t config_cluster::version(const std::string& name)
{
    return at(name).daemon->version();
}

std::string config_cluster::violation()
{
    for (const auto& [name, entry] : hosts_)
    {
        const auto version = entry->daemon->version();
        const auto current = entry->daemon->current();
        if (!current)
        {
            continue;
        }
        if (version < entry->highest)
        {
            return name + " went from " + std::to_string(entry->highest) +
                   " to " + std::to_string(version);
        }
        entry->highest = version;
        if (!find_account(*current, "v" + std::to_string(version)))
        {
            return name + " has another document";
        }
        if (entry->file &&
            (!entry->file->content ||
             decode_stored_config(*entry->file->content)->version() < version))
        {
            return name + " has a version in force that is not synced";
        }
    }
    return "";
}

bool config_cluster::reaches(const std::string& a, const std::string& b) const
{
    return cuts_.count({std::min(a, b), std::max(a, b)}) == 0;
}

bool config_cluster::reaches_majority(const std::string& name) const
{
    std::size_t voters = 0;
    std::size_t reached = 0;
    for (const auto& [other, entry] : hosts_)
    {
        if (entry->settings.votes)
        {
            ++voters;
            reached += reaches(name, other) ? 1 : 0;
        }
    }
    return hosts_.at(name)->settings.votes && 2 * reached > voters;
}

absl::StatusOr<config_view> config_cluster::read_local(const std::string& name,
                                                       bool confirmed)
{
    auto& target = at(name);
    if (confirmed)
    {
        if (!reaches_majority(name))
        {
            return absl::UnavailableError("no majority");
        }
        target.applied = committed_;
        target.evacuations = evacuations;
    }
    config_view view;
    view.version = target.applied;
    view.document =
        std::make_shared<std::string>(cluster_document(target.applied));
    view.applied = target.applied;
    view.evacuations = target.evacuations;
    return view;
}

std::string cluster_document(std::uint64_t version)
{
    return version == 0 ? ""
                        : "fleet: []\nclient_accounts: [{name: v" +
                              std::to_string(version) + "}]\n";
}

} // namespace limpetstack

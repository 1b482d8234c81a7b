#include "support/soft_state_cluster.hpp"

namespace limpetstack
{

class soft_state_cluster::link : public unreachable_network
{
public:
    link(soft_state_cluster& cluster, std::string from)
        : cluster_(cluster)
        , from_(std::move(from))
    {
    }

    void push(const std::string& to,
              const wire::soft_state_delta& delta) override
    {
        const auto bytes = delta.ByteSizeLong();
        cluster_.find(from_)->sent_bytes += bytes;
        if (cluster_.passes(from_, to))
        {
            auto& target = *cluster_.find(to);
            target.received_bytes += bytes;
            target.hosts->receive(delta);
        }
    }

    absl::StatusOr<wire::soft_state_delta>
    exchange(const std::string& to, const wire::soft_state_digest& digest,
             milliseconds) override
    {
        auto& self = *cluster_.find(from_);
        self.sent_bytes += digest.ByteSizeLong();
        if (!cluster_.passes(from_, to))
        {
            return absl::UnavailableError("lost");
        }
        auto& target = *cluster_.find(to);
        target.received_bytes += digest.ByteSizeLong();
        auto answer = target.hosts->exchange(digest);
        target.sent_bytes += answer.ByteSizeLong();
        if (!cluster_.passes(to, from_))
        {
            return absl::UnavailableError("lost");
        }
        self.received_bytes += answer.ByteSizeLong();
        return answer;
    }

private:
    soft_state_cluster& cluster_;
    const std::string from_;
};

soft_state_cluster::soft_state_cluster(int hosts, int data_centres,
                                       std::uint64_t seed)
    : hosts_(static_cast<std::size_t>(hosts))
    , random_(seed)
{
    std::vector<peer_settings> peers;
    peers.reserve(static_cast<std::size_t>(hosts));
    for (int i = 0; i < hosts; ++i)
    {
        peers.push_back({"h" + std::to_string(i),
                         "dc" + std::to_string(i % data_centres), "", false,
                         false});
    }
    for (int i = 0; i < hosts; ++i)
    {
        auto& own = at(i).own;
        own.host = peers[static_cast<std::size_t>(i)].host;
        own.data_centre = peers[static_cast<std::size_t>(i)].data_centre;
        own.peers = peers;
        start(i);
    }
}

soft_state_cluster::~soft_state_cluster() = default;

int soft_state_cluster::random_below(int bound)
{
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
}

bool soft_state_cluster::passes(const std::string& from, const std::string& to)
{
    const bool lost = std::bernoulli_distribution(lost_)(random_);
    return !lost && find(from)->up && find(to)->up &&
           isolated_.count(from) == 0 && isolated_.count(to) == 0;
}

soft_state_cluster::host* soft_state_cluster::find(const std::string& name)
{
    return &hosts_[std::stoul(name.substr(1))];
}

void soft_state_cluster::kill(int index)
{
    auto& subject = at(index);
    subject.up = false;
    subject.hosts->stop();
}

void soft_state_cluster::start(int index)
{
    auto& subject = at(index);
    const auto& timing = subject.own.timing;
    subject.state = std::make_unique<registry>(timing.announcement_lease,
                                               timing.tombstone_retention);
    subject.network = std::make_unique<link>(*this, subject.own.host);
    subject.hosts = std::make_unique<membership>(
        subject.own, *subject.state, *subject.network, timers, counters,
        [](wire::host_entry& entry)
        {
            entry.set_config_version(100);
        },
        ++incarnation_, random_());
    subject.up = true;
    subject.hosts->start();
}

void soft_state_cluster::isolate(int index, bool cut)
{
    if (cut)
    {
        isolated_.insert(at(index).own.host);
    }
    else
    {
        isolated_.erase(at(index).own.host);
    }
}

wire::upstream_entry make_upstream(const std::string& id,
                                   const std::string& data_centre,
                                   std::uint64_t sequence)
{
    wire::upstream_entry out;
    out.set_id(id);
    out.set_incarnation(1764831600000);
    out.set_sequence(sequence);
    out.set_service("check");
    out.set_data_centre(data_centre);
    out.set_address("127.0.0.1:20000");
    out.set_slots(8);
    out.set_connections(64);
    return out;
}

wire::worker_entry make_worker(const std::string& id,
                               const std::string& data_centre,
                               std::uint64_t sequence)
{
    wire::worker_entry out;
    out.set_id(id);
    out.set_incarnation(1764831600000);
    out.set_sequence(sequence);
    out.set_data_centre(data_centre);
    out.set_rack(data_centre + "-r1");
    out.set_address("127.0.0.1:30000");
    out.set_cores(32);
    out.set_memory_mib(131072);
    out.set_accelerators(8);
    return out;
}

} // namespace limpetstack

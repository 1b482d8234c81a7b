#include "support/journal_cluster.hpp"

#include "support/journal_cluster_impl.hpp"

#include "state/request_id.hpp"

#include <absl/strings/str_cat.h>

namespace limpetstack
{
namespace
{

constexpr std::int64_t start_ms = 1700000000000;
constexpr std::size_t id_count = 8; // Few, so that calls meet.
// Few records fit, so that a copy that lags takes several messages.
constexpr std::size_t message_bytes = 200;

} // namespace

journal_cluster::journal_cluster(const cluster_options& options)
    : options_(options)
    , random_(options.seed)
    , clock_(std::make_unique<clock>())
    , ownership_(ownership_options{})
{
    for (std::size_t i = 0; i < options_.disks.size(); ++i)
    {
        hosts_.push_back(std::make_unique<host>());
        hosts_[i]->name = absl::StrCat("host", i);
        if (options_.disks[i])
        {
            hosts_[i]->disk = std::make_shared<fake_disk>();
        }
        restart(i);
    }
    for (int round = 0; round < 100 && !repaired(); ++round)
    {
        advance(milliseconds(100));
    }
}

journal_cluster::~journal_cluster() = default;

void journal_cluster::restart(std::size_t index)
{
    auto& self = *hosts_[index];
    if (self.node || self.busy > 0)
    {
        return;
    }
    std::unique_ptr<journal_store> store;
    if (self.disk)
    {
        self.disk->fail_writes = false;
        store = std::make_unique<fake_journal_store>(self.disk);
    }
    journal_replicator_options options;
    options.host = self.name;
    options.data_centre = "dc1";
    options.retry_pause = milliseconds(0);
    options.message_bytes = message_bytes;
    if (options_.short_retention)
    {
        options.request_retention = {10000, 2000, id_count};
        options.retention_interval = milliseconds(1000);
    }
    options.wall_clock = [this]
    {
        return start_ms + clock_->now().time_since_epoch().count();
    };
    self.alive = std::make_shared<bool>(true);
    auto opened = journal::open(std::move(store), random_() | 1U);
    if (!opened.ok())
    {
        return;
    }
    self.network = std::make_unique<fake_peer_network>(
        [this, index, alive = self.alive](const std::string& to,
                                          const wire::journal_append& message,
                                          milliseconds timeout)
        {
            return carry(index, alive, to, message, timeout);
        });
    self.node = std::make_unique<journal_replicator>(
        options, *std::move(opened), *self.network, *clock_, counters_);
}

void journal_cluster::crash(std::size_t index, bool erase_disk)
{
    auto& self = *hosts_[index];
    if (!self.node)
    {
        return;
    }
    *self.alive = false;
    // Calls of this host may still be on the stack.
    crashed_.emplace_back(std::move(self.network), std::move(self.node));
    if (self.disk)
    {
        // What the crashed process still tries to write is lost.
        auto kept = std::make_shared<fake_disk>();
        kept->bytes = erase_disk ? "" : self.disk->bytes;
        self.disk->fail_writes = true;
        self.disk = kept;
    }
}

void journal_cluster::cut(std::size_t a, std::size_t b, bool apart)
{
    const auto link = std::minmax(a, b);
    if (apart)
    {
        cuts_.insert({link.first, link.second});
    }
    else
    {
        cuts_.erase({link.first, link.second});
    }
}

void journal_cluster::cut_control(std::size_t index, bool apart)
{
    hosts_[index]->cut_from_control = apart;
}

void journal_cluster::advance(milliseconds step)
{
    clock_->advance(step);
    control_round();
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        learn(i);
        tick(i);
    }
}

absl::StatusOr<wire::journal_append_response> journal_cluster::carry(
    std::size_t from, const std::shared_ptr<bool>& alive, const std::string& to,
    const wire::journal_append& message, milliseconds timeout)
{
    const auto target = index_of(to);
    const auto fails = [&]
    {
        const auto link = std::minmax(from, target);
        return !*alive || !hosts_[target]->node ||
               cuts_.count({link.first, link.second}) != 0 ||
               chance(options_.drop_percent);
    };
    if (chance(10))
    {
        step();
    }
    const auto lost = [&]
    {
        clock_->advance(timeout);
        return absl::UnavailableError("fake: no response");
    };
    if (fails())
    {
        return lost();
    }
    if (chance(options_.delay_percent))
    {
        late_.emplace_back(to, message);
        return lost();
    }
    clock_->advance(milliseconds(1));
    const auto response = hosts_[target]->node->receive(message);
    if (chance(10))
    {
        step();
    }
    if (fails())
    {
        return lost();
    }
    return response;
}

void journal_cluster::deliver_late()
{
    if (late_.empty())
    {
        return;
    }
    const auto i = random(late_.size());
    const auto [to, message] = late_[i];
    late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(i));
    if (const auto& node = hosts_[index_of(to)]->node)
    {
        node->receive(message);
    }
}

void journal_cluster::control_round()
{
    std::vector<ownership_host> view;
    for (const auto& self : hosts_)
    {
        if (self->node && !self->cut_from_control)
        {
            self->heard = clock_->now();
            self->seen.entry.set_host(self->name);
            self->seen.entry.set_data_centre("dc1");
            self->seen.entry.set_has_disk(self->disk != nullptr);
            *self->seen.entry.mutable_journal() = self->node->status();
        }
        if (self->seen.entry.host().empty())
        {
            continue;
        }
        self->seen.live = clock_->now() - self->heard <= milliseconds(2000);
        view.push_back(self->seen);
    }
    std::vector<wire::owner_record> records;
    if (record_.epoch() != 0)
    {
        records.push_back(record_);
    }
    for (const auto& next : ownership_.propose(records, view, clock_->now()))
    {
        if (next.epoch() == record_.epoch() + 1)
        {
            record_ = next;
        }
    }
    const auto candidate = choose_candidate(record_, view);
    for (const auto& self : hosts_)
    {
        if (self->node && self->name == record_.owner())
        {
            self->node->set_candidate(candidate);
        }
    }
}

void journal_cluster::learn(std::size_t index)
{
    auto& self = *hosts_[index];
    if (self.node && !self.cut_from_control && record_.epoch() != 0)
    {
        self.node->set_owner_record(record_);
    }
}

void journal_cluster::tick(std::size_t index)
{
    auto& self = *hosts_[index];
    if (!self.node || self.busy > 0)
    {
        return;
    }
    ++self.busy;
    ++depth_;
    self.node->tick();
    --depth_;
    --self.busy;
}

fake_disk journal_cluster::disk(std::size_t index) const
{
    return *hosts_[index]->disk;
}

void journal_cluster::set_disk(std::size_t index, const fake_disk& content)
{
    *hosts_[index]->disk = content;
}

journal_replicator* journal_cluster::node(std::size_t index)
{
    return hosts_[index]->node.get();
}

std::size_t journal_cluster::owner() const
{
    return index_of(record_.owner());
}

std::size_t journal_cluster::copy() const
{
    return index_of(record_.copy());
}

std::size_t journal_cluster::index_of(const std::string& name) const
{
    std::size_t i = 0;
    while (i < hosts_.size() && hosts_[i]->name != name)
    {
        ++i;
    }
    return i;
}

std::string journal_cluster::new_id()
{
    return make_request_id("dc1", record_.incarnation(),
                           start_ms + clock_->now().time_since_epoch().count(),
                           absl::StrCat(absl::Hex(++issued_)));
}

bool journal_cluster::repaired() const
{
    if (record_.copy().empty() || !cuts_.empty())
    {
        return false;
    }
    for (const auto& self : hosts_)
    {
        if (!self->node || self->cut_from_control ||
            !self->node->content().writable() ||
            (self->disk && self->disk->tear_next))
        {
            return false;
        }
        const auto status = self->node->status();
        const bool in_pair =
            self->name == record_.owner() || self->name == record_.copy();
        if (status.epoch() != record_.epoch() || status.lost() ||
            status.copy_lost() ||
            (in_pair && status.complete_epoch() != record_.epoch()))
        {
            return false;
        }
    }
    return true;
}

} // namespace limpetstack

#include "daemon/control_service.hpp"

#include "base/hash.hpp"
#include "base/metrics.hpp"
#include "coordination/config_file.hpp"
#include "coordination/member_admission.hpp"
#include "coordination/peer_network.hpp"
#include "state/data_folder.hpp"

#include <peer.pb.h>

#include <utility>

namespace limpetstack
{
namespace
{

constexpr milliseconds command_timeout{5000};
constexpr milliseconds read_timeout{1000};
constexpr milliseconds admission_interval{500};
constexpr std::uint32_t audit_limit = 1000; // Records of one answer.

class folder_config_file : public config_file
{
public:
    explicit folder_config_file(data_folder& folder)
        : folder_(folder)
    {
    }

    absl::StatusOr<std::optional<std::string>> load() override
    {
        auto content = folder_.read_file(name);
        if (absl::IsNotFound(content.status()))
        {
            return std::optional<std::string>();
        }
        if (!content.ok())
        {
            return content.status();
        }
        return std::optional<std::string>(*std::move(content));
    }

    absl::Status save(const std::string& content) override
    {
        return folder_.replace_file(name, content);
    }

    std::string path() const override { return folder_.file_path(name); }

private:
    static constexpr const char* name = "config";
    data_folder& folder_;
};

} // namespace

control_service::control_service(const settings& own, peer_network& network,
                                 timer_service& timers, metrics& counters)
    : settings_(own)
    , network_(network)
    , timers_(timers)
    , metrics_(counters)
{
    for (const auto& peer : own.peers)
    {
        if (peer.votes)
        {
            voters_.push_back(peer.host);
        }
    }
}

absl::StatusOr<std::unique_ptr<control_service>>
control_service::open(const settings& own, data_folder* folder,
                      peer_network& network, timer_service& timers,
                      metrics& counters, bool found_group)
{
    std::unique_ptr<control_service> opened(
        new control_service(own, network, timers, counters));
    if (own.votes)
    {
        const auto status = opened->open_group(*folder, found_group);
        if (!status.ok())
        {
            return status;
        }
    }
    else if (found_group)
    {
        return absl::InvalidArgumentError(
            "--found-group needs a host with `votes: true`");
    }
    opened->make_client();
    opened->make_config(folder);
    return opened;
}

absl::Status control_service::open_group(data_folder& folder, bool found_group)
{
    control_group_options options;
    options.host = settings_.host;
    options.data_centre = settings_.data_centre;
    // Replicas are addressed by host name: each daemon's settings say at
    // which address it reaches a host.
    options.peer_address = settings_.host;
    options.found_group = found_group;
    options.votes = settings_.votes;
    options.heartbeat = settings_.timing.heartbeat;
    options.election_timeout = settings_.timing.election_timeout;
    options.snapshot_entries = settings_.limits.snapshot_entries;
    options.seed = stable_hash(random_hex(8));
    auto group = control_group::open(
        options, folder, state_, timers_, metrics_,
        [this](const std::string& host, const wire::consensus_message& message)
        {
            network_.deliver(host, message);
        });
    if (!group.ok())
    {
        return group.status();
    }
    group_ = *std::move(group);
    return absl::OkStatus();
}

void control_service::make_client()
{
    control_client::local_member local;
    if (group_)
    {
        local.leads = [this]
        {
            return group_->leads();
        };
        local.propose =
            [this](const wire::control_command& command, milliseconds timeout)
        {
            return group_->propose(command, timeout);
        };
        local.members = [this]
        {
            return group_->members();
        };
    }
    client_ = std::make_unique<control_client>(network_, voters_, local);
}

void control_service::make_config(data_folder* folder)
{
    config_distributor::options options;
    options.data_centre = settings_.data_centre;
    options.peers = settings_.peers;
    options.poll_interval = settings_.timing.config_poll;
    config_distributor::local_reader read_local;
    if (group_)
    {
        read_local = [this](bool confirmed)
        {
            return local_view(confirmed);
        };
    }
    std::shared_ptr<config_file> file;
    if (folder != nullptr)
    {
        file = std::make_shared<folder_config_file>(*folder);
    }
    config_ = std::make_unique<config_distributor>(
        options, parse_document, network_, timers_, metrics_, file, read_local);
}

absl::StatusOr<config_view> control_service::local_view(bool confirmed)
{
    if (confirmed && !(group_->leads() && group_->confirm_read(read_timeout)))
    {
        return absl::UnavailableError(
            "this host is not a leader that a majority confirms");
    }
    return state_.view();
}

absl::Status control_service::start()
{
    if (group_)
    {
        group_->start();
        subscriptions_.push_back(timers_.every(admission_interval,
                                               [this](time_point)
                                               {
                                                   admit_member();
                                               }));
    }
    return config_->start();
}

void control_service::stop()
{
    subscriptions_.clear();
    if (group_)
    {
        group_->stop();
    }
}

void control_service::deliver(const wire::consensus_message& message)
{
    if (group_)
    {
        group_->receive(message);
    }
}

wire::command_outcome
control_service::propose(const wire::control_command& command)
{
    if (group_ && group_->leads())
    {
        return group_->propose(command, command_timeout);
    }
    wire::command_outcome outcome;
    outcome.set_code(wire::command_unavailable);
    outcome.set_message("host " + settings_.host +
                        " does not lead the control group");
    return outcome;
}

wire::config_response
control_service::read_config(const wire::config_request& request)
{
    return config_->serve(request);
}

wire::audit_response
control_service::read_audit(const wire::audit_request& request) const
{
    wire::audit_response response;
    const auto limit = request.limit() == 0
                           ? audit_limit
                           : std::min(request.limit(), audit_limit);
    for (const auto& record : state_.audit(request.after_sequence(), limit))
    {
        *response.add_records() = record;
    }
    return response;
}

wire::members_response control_service::read_members() const
{
    return group_ ? group_->members() : wire::members_response();
}

wire::members_response control_service::find_members()
{
    return client_->members(read_timeout);
}

absl::StatusOr<wire::audit_response>
control_service::find_audit(const wire::audit_request& request)
{
    if (group_)
    {
        return read_audit(request);
    }
    for (const auto& host : voters_)
    {
        auto answer = network_.read_audit(host, request, read_timeout);
        if (answer.ok())
        {
            return answer;
        }
    }
    return absl::UnavailableError("no member of the control group answers");
}

std::string control_service::last_operator(std::uint64_t version) const
{
    const auto view = state_.view();
    return view.version == version ? view.operator_name : "";
}

wire::control_command control_service::new_command() const
{
    wire::control_command command;
    command.set_request_id("host-" + random_hex(16));
    command.set_operator_name("limpetstackd");
    command.set_host(settings_.host);
    command.set_time_ms(wall_clock_ms());
    return command;
}

void control_service::propose_owner(const wire::owner_record& record)
{
    auto command = new_command();
    *command.mutable_owner() = record;
    const auto outcome = group_->propose(command, command_timeout);
    metrics_.add(outcome.code() == wire::command_accepted
                     ? "owner_changes_total{outcome=\"accepted\"}"
                     : "owner_changes_total{outcome=\"refused\"}");
}

void control_service::admit_member()
{
    replica_state replica;
    replica.self.set_id(group_->replica_id());
    replica.self.set_host(settings_.host);
    replica.self.set_peer_address(settings_.host);
    replica.self.set_data_centre(settings_.data_centre);
    replica.votes = settings_.votes;
    replica.commit = group_->members().commit();
    const auto change = next_member_change(find_members(), replica);
    if (!change)
    {
        return;
    }
    auto command = new_command();
    *command.mutable_member() = *change;
    const auto outcome = client_->submit(command, read_timeout);
    metrics_.add(outcome.code() == wire::command_accepted
                     ? "member_changes_total{outcome=\"accepted\"}"
                     : "member_changes_total{outcome=\"refused\"}");
}

} // namespace limpetstack

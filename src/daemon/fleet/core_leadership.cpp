// Implements the part of `core_node` that starts, runs and ends a leadership.
#include "daemon/fleet/core_node.hpp"

#include "base/log.hpp"
#include "coordination/member_rules.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack::fleet
{
namespace
{

constexpr milliseconds member_check_interval{250};

// A leader that has not checked its leadership for this long may have been
// suspended. It is shorter than the time after which others elect a leader.
constexpr milliseconds max_leadership_check_age{400};

// The part of the descriptors that connections to workers may take. Reports of
// workers, other hosts, callers and files need the rest.
constexpr double worker_connections_share = 0.5;

} // namespace

core_node::leadership::leadership(core_node& node, std::uint64_t term)
    : port(node.io_, node.protocol_,
           static_cast<std::size_t>(
               static_cast<double>(node.settings_.max_descriptors) *
               worker_connections_share))
    , guarded_port(
          port,
          [&node, term]
          {
              return node.may_act_as_leader(term);
          },
          [&node](std::function<void()> callback)
          {
              boost::asio::post(node.io_, std::move(callback));
          },
          node.counters_)
    , policy(node.io_, node.protocol_, node.settings_.policy_address)
    , workers(
          node.settings_.workers, node.state_, guarded_port,
          [&node](fleet_command command)
          {
              node.runner_->propose(std::move(command), {});
          },
          boot_now, wall_clock_ms, term, node.counters_)
    , scheduler(
          node.settings_.scheduler, node.state_, workers, policy, boot_now,
          [&node](fleet_command command)
          {
              node.runner_->propose(std::move(command), {});
          },
          node.counters_)
    , began_at(boot_now())
{
    if (node.document_)
    {
        scheduler.use_document(*node.document_);
    }
}

// Starts or ends the leader's work when the role in the consensus protocol has
// changed. A leadership starts only after a majority has confirmed it.
void core_node::update_leadership()
{
    confirm_after_gap(boot_now());
    const auto& replica = runner_->replica();
    if (leadership_ && (!replica.is_leader() || leadership_->workers.deposed()))
    {
        log_event(log_level::info, "leadership_ended",
                  {{"term", absl::StrCat(replica.term())}});
        end_leadership();
        confirming_term_ = replica.is_leader() ? replica.term() : 0;
    }
    if (!leadership_ && replica.is_leader() && !stopping_ &&
        confirming_term_ != replica.term())
    {
        confirming_term_ = replica.term();
        runner_->read(
            [this, term = replica.term()](bool confirmed)
            {
                if (confirmed && runner_->replica().is_leader() &&
                    runner_->replica().term() == term && !leadership_)
                {
                    begin_leadership();
                }
                else if (!confirmed && confirming_term_ == term)
                {
                    confirming_term_ = 0;
                }
            });
        runner_->pump();
    }
    if (leadership_)
    {
        log_permission();
    }
    const auto leader = leader_address();
    if (leader != last_leader_)
    {
        log_event(log_level::info, "leader_changed",
                  {{"leader", leader}, {"term", absl::StrCat(replica.term())}});
        last_leader_ = leader;
        push_status();
    }
}

bool core_node::may_act_as_leader(std::uint64_t term) const
{
    const auto& replica = runner_->replica();
    leader_evidence evidence;
    evidence.leads = replica.is_leader() && replica.term() == term;
    evidence.confirmed_after_gap = !unconfirmed_after_gap_;
    evidence.checked_at = leadership_checked_at_;
    evidence.confirmed_at = replica.confirmed_at();
    return may_act(
        evidence,
        {max_leadership_check_age, max_confirmation_age(election_timeout)},
        boot_now());
}

// Logs when the leader's orders begin or cease to be withheld.
void core_node::log_permission()
{
    const auto& replica = runner_->replica();
    const bool acts = may_act_as_leader(replica.term());
    if (acts == leadership_->acts)
    {
        return;
    }
    leadership_->acts = acts;
    const auto confirmed_at = replica.confirmed_at();
    log_event(
        log_level::warning, acts ? "orders_resumed" : "orders_withheld",
        {{"term", absl::StrCat(replica.term())},
         {"confirmed_ms_ago",
          confirmed_at ? absl::StrCat((boot_now() - *confirmed_at).count())
                       : ""}});
}

// After a suspension, messages that arrived meanwhile make a majority look
// alive. Only answers to a new round of messages show that this host leads.
void core_node::confirm_after_gap(time_point now)
{
    const auto gap = now - leadership_checked_at_;
    leadership_checked_at_ = now;
    if (leadership_ && gap > max_leadership_check_age)
    {
        log_event(log_level::warning, "leadership_unconfirmed",
                  {{"gap_ms", absl::StrCat(gap.count())}});
        unconfirmed_after_gap_ = true;
        ++leadership_gaps_;
    }
    if (!leadership_ || !unconfirmed_after_gap_ || confirming_after_gap_)
    {
        return;
    }
    confirming_after_gap_ = true;
    runner_->read(
        [this, gaps = leadership_gaps_](bool confirmed)
        {
            confirming_after_gap_ = false;
            if (confirmed && gaps == leadership_gaps_)
            {
                unconfirmed_after_gap_ = false;
            }
        });
}

void core_node::end_leadership()
{
    if (const auto ended = std::move(leadership_))
    {
        ended->workers.cancel_departures();
    }
}

void core_node::begin_leadership()
{
    const auto term = runner_->replica().term();
    log_event(log_level::info, "leadership_began",
              {{"term", absl::StrCat(term)},
               {"jobs", absl::StrCat(state_.jobs().size())},
               {"workers", absl::StrCat(state_.workers().size())}});
    counters_.add("leaderships_total");
    unconfirmed_after_gap_ = false;
    leadership_ = std::make_unique<leadership>(*this, term);
    push_status();
}

// Runs the scheduler, the orders to workers and the membership check, if this
// host leads, and then the consensus runner. A call from within does nothing.
void core_node::run_due_work()
{
    if (running_due_work_)
    {
        return;
    }
    running_due_work_ = true;
    if (leadership_)
    {
        const auto now = boot_now();
        leadership_->scheduler.run_round(now, wall_clock_ms());
        counters_.set(
            "waiting_steps",
            static_cast<double>(leadership_->scheduler.pending_steps()));
        counters_.set(
            "failed_subtasks",
            static_cast<double>(leadership_->scheduler.failed_subtasks()));
        leadership_->workers.advance(now);
        manage_members();
    }
    runner_->pump();
    running_due_work_ = false;
}

void core_node::manage_members()
{
    const auto now = boot_now();
    if (now - members_checked_at_ < member_check_interval)
    {
        return;
    }
    members_checked_at_ = now;
    const auto& members = runner_->replica().log().members();
    member_policy_options options;
    options.voters = std::min<std::size_t>(
        2 * std::max<std::size_t>(settings_.tolerated_losses, 1) + 1,
        max_voters);
    const auto change =
        plan_member_change(members, storage_.id, observed_hosts_, options,
                           leadership_->began_at, now);
    if (!change)
    {
        return;
    }
    const auto result = runner_->change_members(*change);
    if (result.index != 0)
    {
        log_event(log_level::info, "member_change",
                  {{"change", wire::member_change::kind_Name(change->change())},
                   {"member", absl::StrCat(absl::Hex(change->subject().id()))},
                   {"index", absl::StrCat(result.index)}});
    }
    update_targets();
}

void core_node::use_document()
{
    if (state_.document().version() == 0)
    {
        return;
    }
    auto document = protocol_.decode_document(state_.document().text());
    if (!document.ok())
    {
        log_event(log_level::error, "document_unreadable",
                  {{"version", absl::StrCat(state_.document().version())},
                   {"reason", std::string(document.status().message())}});
        return;
    }
    document_ = std::move(*document);
    log_event(log_level::info, "document_in_force",
              {{"version", absl::StrCat(document_->version)}});
    if (leadership_)
    {
        leadership_->scheduler.use_document(*document_);
    }
    if (links_)
    {
        push_status();
    }
}

void core_node::propose_timed(fleet_command command,
                              consensus_runner::outcome_handler done)
{
    runner_->propose(std::move(command),
                     [this, done = std::move(done), began = boot_now()](
                         proposal_outcome outcome, apply_result result)
                     {
                         counters_.observe_latency(
                             "commit_ms",
                             static_cast<double>((boot_now() - began).count()));
                         done(outcome, result);
                     });
}

} // namespace limpetstack::fleet

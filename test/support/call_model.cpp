#include "support/call_model.hpp"

#include "coordination/fleet/fleet_answers.hpp"
#include "support/modelled_core_host.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <limits>

namespace limpetstack::fleet
{
namespace
{

constexpr std::size_t host_count = 3;
constexpr std::uint64_t entry_origin = 7;
constexpr milliseconds call_time{3000};

// Rounds of delivery after the last event, far more than a call can need.
constexpr int settle_rounds = 400;

std::string document_text(std::uint64_t version, bool with_key, bool with_queue)
{
    const std::string queue =
        R"({"name":"q","host":"a.example","prefix":"/q/","timeout_ms":3000,)"
        R"("service":"s","attempts":2,"priority":1})";
    return absl::StrCat(
        R"({"version":)", version, R"(,"routes":[)", with_queue ? queue : "",
        R"(],"services":[{"name":"s"}],"tenants":[{"name":"t","keys":[")",
        with_key ? "key" : "other", R"("]}]})");
}

bool tells_not_run(unsigned status)
{
    return status >= 400 && status != 410 && status != 504;
}

} // namespace

call_model::call_model(const external_protocol& protocol, unsigned seed)
    : protocol_(protocol)
    , random_(seed)
    , forwarder_(
          entry_origin,
          [this](const std::string& address, const forwarded_call& sent)
          {
              for (const auto& item : current_links_)
              {
                  if (hosts_[item->host]->address == address)
                  {
                      item->calls.push_back(sent);
                      return true;
                  }
              }
              return false;
          },
          counters_)
{
    for (std::size_t i = 0; i < host_count; ++i)
    {
        hosts_.push_back(std::make_unique<modelled_core_host>());
        auto& host = *hosts_.back();
        host.address = absl::StrCat("10.0.0.", i + 1, ":1");
        host.service = std::make_unique<fleet_service>(protocol_, host.state,
                                                       dependencies(host));
        current_links_.push_back(std::make_shared<link>());
        current_links_.back()->host = i;
    }
    elect(0);
    change_document();
    commit(1);
}

call_model::~call_model() = default;

fleet_service_dependencies call_model::dependencies(modelled_core_host& host)
{
    fleet_service_dependencies out;
    out.propose =
        [&host](fleet_command command, consensus_runner::outcome_handler done)
    {
        if (host.term == 0)
        {
            done(proposal_outcome::not_leader, apply_result::refused);
            return;
        }
        host.proposals.push_back({std::move(command), std::move(done)});
    };
    out.read = [&host](std::function<void(bool)> done)
    {
        if (host.term == 0)
        {
            done(false);
            return;
        }
        host.reads.push_back(std::move(done));
    };
    out.begin_departure =
        [](const worker_incarnation&, const std::function<void(bool)>& ready)
    {
        ready(false);
    };
    out.record_report = [](const worker_report&) {};
    out.document = [&host]
    {
        return host.document ? &*host.document : nullptr;
    };
    out.term = [&host]
    {
        return host.term;
    };
    out.job_room_limit = []
    {
        return std::numeric_limits<std::size_t>::max();
    };
    out.worker_room_limit = out.job_room_limit;
    out.wall_ms = []
    {
        return std::int64_t{1700000000000};
    };
    return out;
}

void call_model::run(int events)
{
    for (int i = 0; i < events; ++i)
    {
        make_event();
    }
    settle();
}

std::shared_ptr<call_model::link> call_model::random_link()
{
    const auto at = random_() % (current_links_.size() + lost_links_.size());
    return at < current_links_.size() ? current_links_[at]
                                      : lost_links_[at - current_links_.size()];
}

void call_model::make_event()
{
    const auto kind = random_() % 100;
    const auto host = random_() % hosts_.size();
    if (kind < 12)
    {
        call();
    }
    else if (kind < 36)
    {
        deliver_call(random_link());
    }
    else if (kind < 58)
    {
        deliver_answer(*current_links_[host]);
    }
    else if (kind < 68)
    {
        commit(1 + random_() % 3);
    }
    else if (kind < 74)
    {
        confirm_reads(*hosts_[leader_]);
    }
    else if (kind < 82)
    {
        report_status(host);
    }
    else if (kind < 84)
    {
        hosts_[host]->frozen = !hosts_[host]->frozen;
    }
    else if (kind < 87)
    {
        lose_link(host);
    }
    else if (kind < 89)
    {
        elect(host);
    }
    else if (kind < 92)
    {
        notice(*hosts_[host]);
    }
    else if (kind < 95)
    {
        change_document();
    }
    else if (kind < 96 && !lost_links_.empty())
    {
        lost_links_.erase(lost_links_.begin());
    }
    else
    {
        now_ += milliseconds(random_() % 200);
        forwarder_.check(now_);
    }
}

// Ends all faults, and delivers what is under way on lost connections last.
void call_model::settle()
{
    for (const auto& host : hosts_)
    {
        host->frozen = false;
    }
    for (int round = 0; round < settle_rounds; ++round)
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i)
        {
            notice(*hosts_[i]);
            report_status(i);
            deliver_call(current_links_[i]);
            deliver_answer(*current_links_[i]);
        }
        confirm_reads(*hosts_[leader_]);
        commit(committed_.size() + hosts_[leader_]->proposals.size());
        if (forwarder_.pending() == 0)
        {
            for (const auto& item : lost_links_)
            {
                deliver_call(item);
            }
        }
        now_ += milliseconds(20);
        forwarder_.check(now_);
    }
    for (const auto& host : hosts_)
    {
        catch_up(*host);
    }
}

void call_model::call()
{
    const auto index = records_.size();
    caller_record record;
    record.method = "POST";
    record.job = absl::StrFormat("%016x", index + 1);
    if (!records_.empty() && chance(40))
    {
        const auto& earlier = records_[random_() % records_.size()];
        record.method = chance(50) ? "DELETE" : "GET";
        record.job = earlier.job;
        if (record.method == "DELETE" && !cancelled_.insert(record.job).second)
        {
            return; // One cancelling a job, so that its effect is known.
        }
    }
    records_.push_back(record);
    forwarded_call sent;
    sent.set_from_caller(true);
    sent.set_method(record.method);
    sent.set_host("a.example");
    sent.set_target("/q/" + record.job);
    sent.set_authorization("Bearer key");
    sent.set_body(R"({"spec":"x","steps":[{"count":1}]})");
    forwarder_.accept(
        std::move(sent), call_time,
        [this, index](const forwarded_answer& answer)
        {
            records_[index].status = answer.status();
        },
        now_);
}

void call_model::deliver_call(const std::shared_ptr<link>& from)
{
    auto& host = *hosts_[from->host];
    if (from->calls.empty() || host.frozen)
    {
        return;
    }
    const auto received = from->calls.front();
    from->calls.pop_front();
    const auto done = [from, id = received.id()](const forwarded_answer& answer)
    {
        auto sent = answer;
        sent.set_id(id);
        from->answers.emplace_back(std::move(sent), 0);
    };
    if (host.term == 0)
    {
        done(not_leader_answer());
        return;
    }
    host.service->handle(received, done);
}

void call_model::deliver_answer(link& from)
{
    if (from.answers.empty())
    {
        return;
    }
    const auto [answer, term] = from.answers.front();
    from.answers.pop_front();
    const auto& address = hosts_[from.host]->address;
    if (answer)
    {
        forwarder_.on_answer(address, *answer, now_);
    }
    else if (term > 0)
    {
        forwarder_.set_leader(address, term, now_);
    }
    else
    {
        forwarder_.drop_leader(address);
    }
}

void call_model::lose_link(std::size_t host)
{
    const auto lost = current_links_[host];
    if (!lost->calls.empty())
    {
        lost_links_.push_back(lost);
    }
    current_links_[host] = std::make_shared<link>();
    current_links_[host]->host = host;
    forwarder_.on_link_lost(hosts_[host]->address);
}

// Makes the host the leader of a new term. It holds some of the entries that
// the last leader has not committed, and commits them.
void call_model::elect(std::size_t host)
{
    if (hosts_[host]->frozen || (term_ > 0 && host == leader_))
    {
        return;
    }
    if (term_ > 0)
    {
        const auto& last = *hosts_[leader_];
        const auto kept = random_() % (last.proposals.size() + 1);
        for (std::size_t i = 0; i < kept; ++i)
        {
            committed_.push_back(last.proposals[i].command);
        }
    }
    notice(*hosts_[host]);
    ++term_;
    leader_ = host;
    catch_up(*hosts_[host]);
    hosts_[host]->term = term_;
}

// A deposed leader learns that it does not lead any more.
void call_model::notice(modelled_core_host& host)
{
    if (host.frozen || host.term == 0 || host.term == term_)
    {
        return;
    }
    host.term = 0;
    for (const auto& item : std::exchange(host.proposals, {}))
    {
        if (item.done)
        {
            item.done(proposal_outcome::unknown, apply_result::refused);
        }
    }
    for (const auto& done : std::exchange(host.reads, {}))
    {
        done(false);
    }
    catch_up(host);
}

// Applies the next committed command to the host's state.
apply_result call_model::apply_next(modelled_core_host& host)
{
    const auto& command = committed_[host.applied++];
    const auto result = host.state.apply(command);
    if (result == apply_result::changed && command.has_put_document())
    {
        host.document =
            *protocol_.decode_document(command.put_document().text());
    }
    return result;
}

void call_model::catch_up(modelled_core_host& host)
{
    while (host.applied < committed_.size())
    {
        apply_next(host);
    }
}

void call_model::commit(std::size_t count)
{
    auto& leader = *hosts_[leader_];
    for (std::size_t i = 0;
         i < count && !leader.frozen && !leader.proposals.empty(); ++i)
    {
        const auto item = leader.proposals.front();
        leader.proposals.erase(leader.proposals.begin());
        committed_.push_back(item.command);
        const auto result = apply_next(leader);
        if (item.done)
        {
            item.done(proposal_outcome::applied, result);
        }
    }
}

void call_model::confirm_reads(modelled_core_host& host)
{
    if (host.frozen || host.term != term_)
    {
        return;
    }
    for (const auto& done : std::exchange(host.reads, {}))
    {
        done(true);
    }
}

void call_model::change_document()
{
    auto& leader = *hosts_[leader_];
    fleet_command command;
    ++version_;
    command.mutable_put_document()->set_version(version_);
    command.mutable_put_document()->set_text(
        document_text(version_, version_ == 1 || chance(60), chance(80)));
    leader.proposals.push_back({std::move(command), {}});
}

void call_model::report_status(std::size_t host)
{
    if (!hosts_[host]->frozen)
    {
        current_links_[host]->answers.emplace_back(std::nullopt,
                                                   hosts_[host]->term);
    }
}

std::uint64_t call_model::refusals_after_unknown() const
{
    std::uint64_t sum = 0;
    for (const auto* const status : {"400", "401", "404", "503"})
    {
        sum += counters_.counter(absl::StrCat(
            "refusals_after_unknown_total{status=\"", status, "\"}"));
    }
    return sum;
}

std::uint64_t call_model::superseded() const
{
    std::uint64_t sum = 0;
    for (const auto& host : hosts_)
    {
        sum += host->service->superseded_calls();
    }
    return sum;
}

std::vector<std::string> call_model::violations() const
{
    std::vector<std::string> out;
    const auto& state = hosts_[leader_]->state;
    for (const auto& item : records_)
    {
        const auto text = absl::StrCat(item.method, " of ", item.job, ": ");
        const auto* const job = state.find_job(item.job);
        if (!item.status)
        {
            out.push_back(text + "no answer");
        }
        else if (item.method == "POST" && tells_not_run(*item.status) &&
                 job != nullptr)
        {
            out.push_back(absl::StrCat(text, *item.status, ", and it runs"));
        }
        else if (item.method == "POST" && *item.status == 200 && job == nullptr)
        {
            out.push_back(text + "accepted, and it does not run");
        }
        else if (item.method == "DELETE" && tells_not_run(*item.status) &&
                 job != nullptr && job->cancelled)
        {
            out.push_back(
                absl::StrCat(text, *item.status, ", and it is cancelled"));
        }
        else if (item.method == "DELETE" && *item.status == 200 &&
                 (job == nullptr || !job->cancelled))
        {
            out.push_back(text + "cancelled, and it goes on");
        }
    }
    return out;
}

} // namespace limpetstack::fleet

#include "coordination/config_distributor.hpp"
#include "base/log.hpp"
#include "base/metrics.hpp"
#include "coordination/config_file.hpp"
#include "coordination/peer_network.hpp"
#include "coordination/stored_config.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace limpetstack
{

// A version from any source, with what is known about it.
struct config_distributor::candidate
{
    std::uint64_t version = 0;
    std::shared_ptr<const std::string> text;
    std::vector<wire::owner_record> owners;
    wire::evacuation_set evacuations;
    std::uint64_t applied = 0;
    bool confirmed = false;
    bool usable = true; // False when the document may not be taken.
};

struct config_distributor::subscriber
{
    std::function<void()> changed;
    // Held while the callback runs, so that cancelling waits for it.
    std::recursive_mutex running;
    bool cancelled = false;
};

namespace
{

std::vector<wire::owner_record> owners_of(const wire::config_response& answer)
{
    return {answer.owners().begin(), answer.owners().end()};
}

} // namespace

config_distributor::config_distributor(options settings, parser parse,
                                       peer_network& network,
                                       timer_service& timers, metrics& counters,
                                       std::shared_ptr<config_file> file,
                                       local_reader read_local)
    : options_(std::move(settings))
    , parse_(std::move(parse))
    , network_(network)
    , timers_(timers)
    , metrics_(counters)
    , file_(std::move(file))
    , read_local_(std::move(read_local))
    , text_(std::make_shared<std::string>())
{
    for (const auto& peer : options_.peers)
    {
        if (peer.disk && peer.data_centre == options_.data_centre)
        {
            disk_hosts_.push_back(peer);
        }
        if (peer.votes)
        {
            voters_.push_back(peer);
        }
    }
}

config_distributor::~config_distributor()
{
    subscriptions_.clear();
}

absl::Status config_distributor::start()
{
    metrics_.set("evacuated_data_centres", 0);
    if (file_)
    {
        const auto content = file_->load();
        if (!content.ok())
        {
            return absl::Status(
                content.status().code(),
                absl::StrCat(file_->path(), ": ", content.status().message()));
        }
        if (content->has_value())
        {
            const auto stored = decode_stored_config(**content);
            if (!stored.ok())
            {
                return absl::DataLossError(absl::StrCat(
                    file_->path(), ": ", stored.status().message()));
            }
            const std::lock_guard lock(accept_mutex_);
            candidate offered{stored->version(),
                              std::make_shared<std::string>(stored->document()),
                              owners_of(*stored),
                              stored->evacuations(),
                              stored->applied(),
                              false,
                              true};
            merge_owners(offered.owners);
            merge_evacuations(offered.evacuations);
            if (offered.version > 0 && !install(offered))
            {
                return absl::FailedPreconditionError(absl::StrCat(
                    file_->path(), ": this release can not read version ",
                    offered.version, " of the document"));
            }
            const std::lock_guard state(state_mutex_);
            settled_ = true;
        }
    }
    subscriptions_.push_back(timers_.every(options_.poll_interval,
                                           [this](time_point)
                                           {
                                               poll();
                                           }));
    subscriptions_.push_back(timers_.after(milliseconds(0),
                                           [this](time_point)
                                           {
                                               poll();
                                           }));
    return absl::OkStatus();
}

std::shared_ptr<const document> config_distributor::current() const
{
    const std::lock_guard lock(state_mutex_);
    return document_;
}

std::uint64_t config_distributor::version() const
{
    const std::lock_guard lock(state_mutex_);
    return version_;
}

std::vector<wire::owner_record> config_distributor::owners() const
{
    const std::lock_guard lock(state_mutex_);
    std::vector<wire::owner_record> result;
    for (const auto& [data_centre, record] : owners_)
    {
        result.push_back(record);
    }
    return result;
}

bool config_distributor::settled() const
{
    const std::lock_guard lock(state_mutex_);
    return settled_;
}

wire::config_response
config_distributor::serve(const wire::config_request& request)
{
    wire::config_response answer;
    if (request.confirmed())
    {
        const auto view = read_local_
                              ? read_local_(true)
                              : absl::UnavailableError("not a control member");
        if (!view.ok())
        {
            return answer;
        }
        accept({view->version, view->document, view->owners, view->evacuations,
                view->applied, true, true});
        answer.set_available(true);
        answer.set_from_disk(file_ != nullptr && version() >= view->version);
        answer.set_version(view->version);
        answer.set_applied(view->applied);
        if (view->version > request.known_version())
        {
            answer.set_document(*view->document);
        }
        for (const auto& record : owners())
        {
            *answer.add_owners() = record;
        }
        *answer.mutable_evacuations() = evacuations();
        return answer;
    }
    const std::lock_guard lock(state_mutex_);
    answer.set_available(settled_);
    answer.set_from_disk(settled_ && file_ != nullptr);
    answer.set_version(version_);
    answer.set_applied(applied_);
    if (version_ > request.known_version())
    {
        answer.set_document(*text_);
    }
    for (const auto& [data_centre, record] : owners_)
    {
        *answer.add_owners() = record;
    }
    *answer.mutable_evacuations() = evacuations_;
    return answer;
}

config_subscription config_distributor::subscribe(std::function<void()> changed)
{
    auto entry = std::make_shared<subscriber>();
    entry->changed = std::move(changed);
    const std::lock_guard lock(state_mutex_);
    subscribers_.erase(std::remove_if(subscribers_.begin(), subscribers_.end(),
                                      [](const auto& weak)
                                      {
                                          return weak.expired();
                                      }),
                       subscribers_.end());
    subscribers_.push_back(entry);
    return config_subscription(entry.get(),
                               [entry](void*)
                               {
                                   const std::lock_guard held(entry->running);
                                   entry->cancelled = true;
                               });
}

void config_distributor::offer(std::uint64_t version, const std::string& text,
                               const std::vector<wire::owner_record>& owners,
                               bool confirmed)
{
    accept({version, std::make_shared<const std::string>(text), owners,
            wire::evacuation_set(), 0, confirmed, true});
}

void config_distributor::accept(const candidate& offered)
{
    const std::lock_guard lock(accept_mutex_);
    const bool owners_changed = merge_owners(offered.owners);
    const bool changed =
        merge_evacuations(offered.evacuations) || owners_changed;
    const bool first = !settled();
    const bool allowed = offered.usable && (!first || offered.confirmed);
    bool installed = false;
    if (allowed && (offered.version > version() || first))
    {
        installed = install(offered);
    }
    else if (changed && file_ && !first)
    {
        // A lost record is learned again from the peers, so a failure
        // here needs no other answer than the log line of `store`.
        static_cast<void>(store(version(), *text_));
    }
    {
        const std::lock_guard state(state_mutex_);
        applied_ = std::max(applied_, offered.applied);
    }
    if (changed || installed)
    {
        notify();
    }
}

bool config_distributor::merge_owners(
    const std::vector<wire::owner_record>& owners)
{
    const std::lock_guard lock(state_mutex_);
    bool changed = false;
    for (const auto& record : owners)
    {
        auto& known = owners_[record.data_centre()];
        if (record.epoch() > known.epoch())
        {
            known = record;
            changed = true;
        }
    }
    return changed;
}

bool config_distributor::install(const candidate& offered)
{
    std::shared_ptr<const document> parsed;
    if (offered.version > 0)
    {
        auto result = parse_(*offered.text);
        if (!result.value)
        {
            metrics_.add("config_versions_refused_total");
            if (std::exchange(refused_version_, offered.version) !=
                offered.version)
            {
                log_event(log_level::error, "config_version_not_readable",
                          {{"version", std::to_string(offered.version)},
                           {"error", result.errors.empty()
                                         ? ""
                                         : result.errors.front().message}});
            }
            return false;
        }
        parsed = std::make_shared<const document>(std::move(*result.value));
    }
    // The stored version itself needs no second sync at startup.
    if (file_ && (settled() || offered.confirmed) &&
        !store(offered.version, *offered.text).ok())
    {
        return false;
    }
    {
        const std::lock_guard lock(state_mutex_);
        settled_ = true;
        version_ = offered.version;
        text_ = offered.text;
        document_ = std::move(parsed);
    }
    metrics_.set("config_version", static_cast<double>(offered.version));
    log_event(log_level::info, "config_in_force",
              {{"version", std::to_string(offered.version)}});
    return true;
}

absl::Status config_distributor::store(std::uint64_t version,
                                       const std::string& text)
{
    wire::config_response content;
    content.set_version(version);
    content.set_document(text);
    for (const auto& record : owners())
    {
        *content.add_owners() = record;
    }
    *content.mutable_evacuations() = evacuations();
    auto status = file_->save(encode_stored_config(content));
    if (!status.ok())
    {
        metrics_.add("config_store_failures_total");
        if (!store_failed_)
        {
            log_event(log_level::error, "config_store_failed",
                      {{"file", file_->path()},
                       {"version", std::to_string(version)},
                       {"error", std::string(status.message())}});
        }
    }
    store_failed_ = !status.ok();
    return status;
}

void config_distributor::notify()
{
    std::vector<std::shared_ptr<subscriber>> active;
    {
        const std::lock_guard lock(state_mutex_);
        for (const auto& weak : subscribers_)
        {
            if (auto entry = weak.lock())
            {
                active.push_back(std::move(entry));
            }
        }
    }
    for (const auto& entry : active)
    {
        const std::lock_guard running(entry->running);
        if (!entry->cancelled)
        {
            entry->changed();
        }
    }
}

void config_distributor::poll()
{
    const std::unique_lock lock(poll_mutex_, std::try_to_lock);
    if (!lock.owns_lock())
    {
        return;
    }
    poll_local();
    poll_disk_hosts();
    poll_voters();
}

void config_distributor::poll_local()
{
    if (!read_local_)
    {
        return;
    }
    const bool confirmed = !settled();
    const auto view = read_local_(confirmed);
    if (view.ok())
    {
        accept({view->version, view->document, view->owners, view->evacuations,
                view->applied, confirmed, true});
    }
}

void config_distributor::poll_disk_hosts()
{
    for (const auto& peer : disk_hosts_)
    {
        // A daemon without a disk relies on the peer's sync.
        const auto answer = ask(peer, false);
        if (answer.ok() && (file_ || answer->from_disk()))
        {
            take(*answer, false);
        }
    }
}

void config_distributor::take(const wire::config_response& answer,
                              bool confirmed)
{
    const bool whole = answer.version() == 0 || !answer.document().empty();
    accept({answer.version(), std::make_shared<std::string>(answer.document()),
            owners_of(answer), answer.evacuations(), answer.applied(),
            confirmed, answer.available() && whole});
}

void config_distributor::poll_voters()
{
    // The voter that confirmed last is asked first. One that answers that it
    // can not confirm costs little, so the next is asked at once; one that
    // does not answer ends this round.
    for (std::size_t tries = 0; tries < voters_.size(); ++tries)
    {
        const auto& peer = voters_[next_voter_ % voters_.size()];
        const auto answer = ask(peer, true);
        if (answer.ok() && answer->available())
        {
            take(*answer, true);
            return;
        }
        ++next_voter_;
        if (!answer.ok())
        {
            return;
        }
        // Without a majority, a daemon with a disk still takes what others
        // have in force.
        const auto in_force =
            file_ ? ask(peer, false) : absl::UnavailableError("no disk");
        if (in_force.ok())
        {
            take(*in_force, false);
        }
    }
}

absl::StatusOr<wire::config_response>
config_distributor::ask(const peer_settings& peer, bool confirmed)
{
    wire::config_request request;
    request.set_known_version(version());
    request.set_confirmed(confirmed);
    {
        const std::lock_guard lock(state_mutex_);
        request.set_known_applied(applied_);
    }
    metrics_.add("config_polls_total");
    auto answer =
        network_.read_config(peer.host, request, options_.call_timeout);
    if (!answer.ok())
    {
        metrics_.add("config_polls_failed_total");
    }
    return answer;
}

} // namespace limpetstack

#include "coordination/replicated_log.hpp"

#include <algorithm>

namespace limpetstack
{

replicated_log::replicated_log(const stored_log& stored)
    : snapshot_(stored.snapshot)
    , base_index_(stored.base_index)
    , base_term_(stored.base_term)
{
    members_.emplace_back(snapshot_.index, snapshot_.members);
    for (const auto& entry : stored.entries)
    {
        append(entry);
    }
}

std::uint64_t replicated_log::last_term() const
{
    return entries_.empty() ? base_term_ : entries_.back().term();
}

std::optional<std::uint64_t> replicated_log::term(std::uint64_t index) const
{
    if (index < base_index_ || index > last_index())
    {
        return std::nullopt;
    }
    return index == base_index_ ? base_term_ : at(index).term();
}

const wire::log_entry& replicated_log::at(std::uint64_t index) const
{
    return entries_[index - base_index_ - 1];
}

const wire::membership& replicated_log::members_at(std::uint64_t index) const
{
    const auto first_after = std::find_if(members_.begin() + 1, members_.end(),
                                          [index](const auto& membership)
                                          {
                                              return membership.first > index;
                                          });
    return (first_after - 1)->second;
}

void replicated_log::append(const wire::log_entry& entry)
{
    entries_.push_back(entry);
    if (entry.kind() == wire::entry_membership &&
        entry.index() > snapshot_.index)
    {
        wire::membership members;
        members.ParseFromString(entry.payload());
        members_.emplace_back(entry.index(), std::move(members));
    }
}

void replicated_log::truncate(std::uint64_t first)
{
    while (last_index() >= first)
    {
        entries_.pop_back();
    }
    while (members_.size() > 1 && members_.back().first >= first)
    {
        members_.pop_back();
    }
}

void replicated_log::install(const log_snapshot& snapshot)
{
    snapshot_ = snapshot;
    base_index_ = snapshot.index;
    base_term_ = snapshot.term;
    entries_.clear();
    members_.assign(1, {snapshot.index, snapshot.members});
}

void replicated_log::compact(const log_snapshot& snapshot,
                             std::uint64_t first_retained)
{
    const auto first_after =
        std::find_if(members_.begin() + 1, members_.end(),
                     [&](const auto& membership)
                     {
                         return membership.first > snapshot.index;
                     });
    members_.erase(members_.begin(), first_after - 1);
    snapshot_ = snapshot;
    while (base_index_ + 1 < first_retained)
    {
        base_term_ = entries_.front().term();
        entries_.pop_front();
        ++base_index_;
    }
}

} // namespace limpetstack

#pragma once

#include "base/clock.hpp"

namespace limpetstack::fleet
{

/// Answered and lost orders to workers that are up. Older orders count less.
struct answer_counts
{
    double answered = 0;
    double lost = 0;
    time_point updated_at;
};

/// Returns the counts after a worker answered that had left the `missed`
/// orders before it unanswered: its answers to those were lost. Orders to a
/// worker that answers nothing do not count, because they do not show whether
/// answers are lost or the worker is down.
answer_counts with_answer(const answer_counts& counts, int missed,
                          time_point now);

/// Returns the share of answers that is lost, from 0 to 1. Without recent
/// orders it is 0.
double lost_share(const answer_counts& counts, time_point now);

/// Ways of asking a worker. They differ in how much a missing answer says.
enum class worker_question
{
    order, // A start, a stop or a list request, which is answered at once.
    hold   // A long poll, which is repeated only after a long time.
};

/// Returns the probability that `missed` consecutive answers are missing from a
/// worker that is up, after one more: `probability` is the one before it.
double after_missed_answer(double probability, worker_question question,
                           double share);

/// Returns true when the missing answers can hardly be explained by lost ones.
bool suggests_silence(double probability);

/// Returns true when answers are lost so seldom that two missing ones suggest
/// that a worker is down.
bool answers_are_reliable(double share);

} // namespace limpetstack::fleet

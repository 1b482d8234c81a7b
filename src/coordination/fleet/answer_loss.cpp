// Estimates how many answers of workers are lost, and from that what a missing
// answer says about a worker.
#include "coordination/fleet/answer_loss.hpp"

#include <algorithm>
#include <cmath>

namespace limpetstack::fleet
{
namespace
{

// Time in which the weight of an order falls to 1 / e.
constexpr milliseconds memory_time{4000};

// Number of answered orders that the share starts from, so that a few lost
// answers do not count as many.
constexpr double assumed_answers = 10;

// The most missing answers that count as lost for one answer. A worker that was
// disconnected and is back leaves many.
constexpr int max_lost_per_answer = 3;

// The smallest probabilities of a lost answer that are assumed.
constexpr double min_order_loss = 0.14;
constexpr double min_hold_loss = 0.02;

// A worker counts as silent when its missing answers are at most this likely
// while it is up.
constexpr double silence_probability = 0.02;

double weight_after(milliseconds age)
{
    return std::exp(
        -static_cast<double>(std::max(age, milliseconds(0)).count()) /
        static_cast<double>(memory_time.count()));
}

} // namespace

answer_counts with_answer(const answer_counts& counts, int missed,
                          time_point now)
{
    const auto weight = weight_after(now - counts.updated_at);
    return {counts.answered * weight + 1,
            counts.lost * weight + std::min(missed, max_lost_per_answer), now};
}

double lost_share(const answer_counts& counts, time_point now)
{
    const auto weight = weight_after(now - counts.updated_at);
    const auto lost = counts.lost * weight;
    return lost / (lost + counts.answered * weight + assumed_answers);
}

double after_missed_answer(double probability, worker_question question,
                           double share)
{
    return probability * std::max(share, question == worker_question::hold
                                             ? min_hold_loss
                                             : min_order_loss);
}

bool suggests_silence(double probability)
{
    return probability <= silence_probability;
}

bool answers_are_reliable(double share)
{
    return share <= min_order_loss;
}

} // namespace limpetstack::fleet

#pragma once

#include "base/clock.hpp"

#include <string>
#include <unordered_map>

namespace limpetstack
{

/// Learns how far declared run times of a service are off, and how long its
/// jobs run when they declare nothing.
class run_time_estimator
{
public:
    /// Records a job that ran to its end. `declared` 0: nothing declared.
    void record(const std::string& service, milliseconds declared,
                milliseconds actual);

    /// Returns a run time that most jobs of the service do not exceed. Without
    /// experience it is ten times the declared time, or a day when nothing is
    /// declared.
    milliseconds estimate(const std::string& service,
                          milliseconds declared) const;

private:
    // Moving mean and variance of a logarithm.
    struct moving
    {
        double mean = 0;
        double variance = 0;
        double samples = 0;

        void add(double sample);
    };

    struct experience
    {
        moving factor; // Of actual to declared time.
        moving actual; // Milliseconds.
    };

    std::unordered_map<std::string, experience> services_;
};

} // namespace limpetstack

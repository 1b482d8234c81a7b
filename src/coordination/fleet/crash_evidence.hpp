#pragma once

#include "state/crash_record.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace limpetstack::fleet
{

/// Returns true when the crashes prove that the subtask crashes its workers.
/// `crashes` are those since the last run that did not crash its worker.
bool proves_crashing(const std::vector<crash_record>& crashes);

/// Returns true when the subtask has been under so many crashes that it may
/// start only at a time at which the cause of another one would be known.
bool must_await_calm(const std::vector<crash_record>& crashes);

/// Returns true when so few of the workers were lost for other causes, within
/// a few seconds, that a further loss at the start of a run is no coincidence.
bool is_rare(std::size_t losses, std::size_t workers);

/// Describes the crashes for operators and callers: run, worker and Unix time
/// in milliseconds of each.
std::string describe(const std::vector<crash_record>& crashes);

} // namespace limpetstack::fleet

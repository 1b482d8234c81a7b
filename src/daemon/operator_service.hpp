#pragma once

namespace limpetstack
{

class control_service;
class metrics;
class work_service;
struct operator_handlers;

/// Returns what a daemon answers to operators, apart from readiness. The
/// references must outlive the result.
operator_handlers make_operator_handlers(control_service& control,
                                         work_service& work,
                                         const metrics& counters);

} // namespace limpetstack

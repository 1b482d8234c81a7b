#pragma once

#include <string>

namespace limpetstack::wire
{
class document_summary;
} // namespace limpetstack::wire

namespace limpetstack
{

/// Returns what differs between two documents, for example `added a; changed
/// b, c; fleet changed`, or `nothing` when both are equal. Lists at most a few
/// names of each kind.
std::string describe_changes(const wire::document_summary& before,
                             const wire::document_summary& after);

} // namespace limpetstack

#pragma once

#include "limpetstack/document.hpp"

#include <cstdint>
#include <string>

namespace limpetstack::wire
{
class apply_document;
} // namespace limpetstack::wire

namespace limpetstack
{

/// Returns the command that puts a validated document in force. It carries a
/// digest of each account, from which a conflict names what has changed.
wire::apply_document make_apply_document(std::uint64_t base_version,
                                         std::string yaml,
                                         const document& parsed);

} // namespace limpetstack

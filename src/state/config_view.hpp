#pragma once

#include "peer.pb.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace limpetstack
{

/// The configuration, the owner records and the evacuations at one point of the
/// control log.
struct config_view
{
    std::uint64_t version = 0; // 0 before the first document.
    std::shared_ptr<const std::string> document =
        std::make_shared<std::string>();
    std::string operator_name; // Of the current version.
    std::vector<wire::owner_record> owners;
    wire::evacuation_set evacuations;
    std::uint64_t applied = 0; // Index of the last applied entry.
};

} // namespace limpetstack

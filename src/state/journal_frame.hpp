#pragma once

#include "peer.pb.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace limpetstack
{

/// Returns the bytes of one frame: length, CRC-32C of the length, CRC-32C of
/// the message, each 4 bytes little endian, and the message.
std::string encode_frame(const wire::journal_frame& frame);

/// Calls `apply` for every frame in order and returns the number of bytes that
/// are whole frames; what follows is a torn last write. A bad frame that a good
/// one follows gives `kDataLoss` with `name` and the byte offset.
absl::StatusOr<std::uint64_t>
read_frames(const std::string& name, std::string_view bytes,
            const std::function<void(const wire::journal_frame&)>& apply);

} // namespace limpetstack

#pragma once

#include "core/clock.h"
#include "objects/object_store.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carawaypoint
{

/// Changes of the server registrations between two revisions of the store, sent by a gateway that watches it.
struct ChangeNotice {
    std::uint64_t fromRevision = 0;
    std::uint64_t toRevision = 0;
    std::uint64_t configVersion = 0; // object version of the sender's configuration
    Duration remainingDeferral{}; // time for which the sender still defers removals after the store was unavailable
    std::vector<ObjectEvent> changes; // after fromRevision, in order; empty when only objects of other kinds changed
    bool isComplete = true; // false when the changes exceeded the size of a datagram
};

/// Maximum size of a datagram; a larger notice is sent without its changes.
inline constexpr std::size_t MaxNoticeBytes = 32768;

std::vector<std::byte> encodeNotice(const ChangeNotice &notice);
/// Empty when the bytes are not a valid notice.
std::optional<ChangeNotice> decodeNotice(std::span<const std::byte> bytes);

}

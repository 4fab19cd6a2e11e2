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

/// Changes of the registered servers between two revisions of the store, from a gateway that watches it.
struct ChangeNotice {
    std::uint64_t fromRevision = 0;
    std::uint64_t toRevision = 0;
    std::uint64_t configVersion = 0; // object version of the configuration that the sender has
    Duration unsettledTime{}; // for which removals may still be undone, since the store was away
    std::vector<ObjectEvent> changes; // after fromRevision, in order; none when only objects of other kinds changed
    bool isComplete = true; // false when the changes were too many for a datagram
};

/// Largest datagram that is sent; a notice that needs more goes without its changes.
inline constexpr std::size_t MaxNoticeBytes = 32768;

std::vector<std::byte> encodeNotice(const ChangeNotice &notice);
/// Empty for bytes that are no notice.
std::optional<ChangeNotice> decodeNotice(std::span<const std::byte> bytes);

}

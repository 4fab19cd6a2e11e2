#pragma once

#include "core/clock.h"
#include "gateway/message_fragments.h"
#include "objects/object_store.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace carawaypoint
{

/// A configuration as a difference from an earlier one.
struct ConfigUpdate {
    std::uint64_t baseVersion = 0; // object version of the earlier configuration; 0 when the update refers to none
    std::uint64_t version = 0; // object version of the configuration
    std::vector<std::byte> delta; // for expandDelta()
};

/// Changes of the server registrations between two revisions of the store, sent by a gateway that watches it.
struct ChangeNotice {
    std::uint64_t fromRevision = 0;
    std::uint64_t toRevision = 0;
    std::uint64_t configVersion = 0; // object version of the sender's configuration
    Duration remainingDeferral{}; // time for which the sender still defers removals after the store was unavailable
    std::vector<ObjectEvent> changes; // after fromRevision, in order; empty when only objects of other kinds changed
    bool isComplete = true; // false when one of the changes exceeds the size of a datagram
    std::optional<ConfigUpdate> configUpdate{}; // only in notices without changes
    bool isList = false; // changes are all servers that are registered at toRevision
};

/// Sent by a follower that misses changes or a configuration.
struct ChangeRequest {
    std::uint64_t revision = 0; // the sender knows the changes up to this store revision
    std::uint64_t configVersion = 0; // object version of the sender's configuration
};

/// A datagram between a relay and a follower: a request, a fragment of a longer message, or else a notice.
struct ChangeMessage {
    ChangeNotice notice;
    std::optional<ChangeRequest> request;
    std::optional<MessageFragment> fragment;
};

/// Adds @p era to the versions of a notice that has none: gateways of versions that know no eras send the store's counters alone.
void completeEra(ChangeNotice &notice, std::uint64_t era);

/// Maximum size of a datagram. Small enough that some of them in a row do not overflow the queue of a slow link.
inline constexpr std::size_t MaxNoticeBytes = 16384;

/// The datagrams for @p notice. Changes that exceed one datagram are divided; each part continues at the revision where the one before it
/// ends. A list or a configuration update that exceeds one is sent in fragments; one that exceeds MaxFragmentedBytes is left out.
/// @param messageId differs from those of the sender's other recent notices.
std::vector<std::vector<std::byte>> encodeNotice(const ChangeNotice &notice, std::uint64_t messageId = 0);
std::vector<std::byte> encodeRequest(const ChangeRequest &request);
/// Empty when the bytes are not a valid datagram.
std::optional<ChangeMessage> decodeChangeMessage(std::span<const std::byte> bytes);

}

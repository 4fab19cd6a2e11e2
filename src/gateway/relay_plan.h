#pragma once

#include "core/ids.h"

#include <span>
#include <vector>

namespace carawaypoint
{

/// Another gateway, as the store lists it.
struct PeerGateway {
    MemberId id;
    ZoneId zone;
    Endpoint address; // of its load reports
    Endpoint changes; // where it takes notices of changes in the store

    bool operator==(const PeerGateway &) const = default;
};

/// Who tells whom about load and about changes in the store, so that the cost of a gateway does not grow with the fleet.
///
/// In a small fleet every gateway reports to every other. In a larger one each availability zone has two relays, chosen by rendezvous
/// hashing: gateways report to the relays of their zone; a relay sends the zone's sum to the gateways of its zone and to the relays of
/// the others, and passes the sums of other zones on. The relays also watch the store and pass its changes to the gateways of their zone.
class RelayPlan
{
public:
    /// Peers up to which every gateway reports to every other.
    static constexpr std::size_t MaxDirectPeers = 12;
    static constexpr std::size_t RelaysPerZone = 2;

    RelayPlan() = default;
    RelayPlan(const MemberId &self, const ZoneId &zone, std::span<const PeerGateway> peers);

    bool isDirect() const
    {
        return isDirect_;
    }
    bool isRelay() const
    {
        return isRelay_;
    }
    /// Receivers of this gateway's own report.
    const std::vector<PeerGateway> &reportReceivers() const
    {
        return reportReceivers_;
    }
    /// Receivers of sums from a relay: the gateways of its zone that are no relays.
    const std::vector<PeerGateway> &zonePeers() const
    {
        return zonePeers_;
    }
    /// Relays of other zones; a relay sends them the sum of its zone.
    const std::vector<PeerGateway> &otherRelays() const
    {
        return otherRelays_;
    }

private:
    bool isDirect_ = true;
    bool isRelay_ = false;
    std::vector<PeerGateway> reportReceivers_;
    std::vector<PeerGateway> zonePeers_;
    std::vector<PeerGateway> otherRelays_;
};

}

#pragma once

#include "core/ids.h"

#include <span>
#include <vector>

namespace carawaypoint
{

/// Another gateway as registered in the store.
struct PeerGateway {
    MemberId id;
    ZoneId zone;
    Endpoint address; // where it receives load reports
    Endpoint changes; // where it receives change notices; invalid for gateways of earlier versions

    bool operator==(const PeerGateway &) const = default;
};

/// Determines which gateways exchange load reports and change notices, so that the cost of a gateway does not grow with the fleet.
///
/// In a small fleet every gateway reports to every other. In a larger one each availability zone has two relays, chosen by rendezvous
/// hashing: gateways report to the relays of their zone; a relay sends the sum of its zone to the gateways of its zone and to the relays
/// of other zones, and forwards the sums of other zones. Relays also watch the store and forward its changes to the gateways of their zone.
class RelayPlan
{
public:
    /// Maximum number of peers with which every gateway reports to every other.
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
    /// Receivers of sums and change notices from a relay: the gateways of its zone that are not relays.
    const std::vector<PeerGateway> &zonePeers() const
    {
        return zonePeers_;
    }
    /// Relays of other zones; a relay sends them the sum of its zone.
    const std::vector<PeerGateway> &otherZoneRelays() const
    {
        return otherZoneRelays_;
    }

private:
    bool isDirect_ = true;
    bool isRelay_ = false;
    std::vector<PeerGateway> reportReceivers_;
    std::vector<PeerGateway> zonePeers_;
    std::vector<PeerGateway> otherZoneRelays_;
};

}

#pragma once

#include "core/ids.h"

#include <cstddef>
#include <set>
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
    unsigned linkMbps = 0; // bandwidth of its network link; 0 when not known

    bool operator==(const PeerGateway &) const = default;
};

/// Relays of a gateway's own zone that the list of gateways does not tell of correctly.
struct RelayAbsence {
    std::set<MemberId> silent; // they have ended, and others take their places
    std::size_t substitutes = 0; // gateways that are relays by their own, newer view
};

/// Determines which gateways exchange load reports and change notices, so that the cost of a gateway does not grow with the fleet.
///
/// In a small fleet every gateway reports to every other. In a larger one each availability zone has two relays, the gateways with the
/// fastest network links: gateways report to the relays of their zone; a relay sends the sum of its zone to the relays of other zones,
/// and the sum of all zones to the gateways of its zone. The first relay of a zone also watches the store and forwards its changes to the
/// gateways of the zone; the second takes over when it receives none.
class RelayPlan
{
public:
    /// Maximum number of peers with which every gateway reports to every other.
    static constexpr std::size_t MaxDirectPeers = 12;
    static constexpr std::size_t RelaysPerZone = 2;

    RelayPlan() = default;
    RelayPlan(const PeerGateway &self, std::span<const PeerGateway> peers, const RelayAbsence &absence = {});

    bool isDirect() const
    {
        return isDirect_;
    }
    bool isRelay() const
    {
        return isRelay_;
    }
    /// Position among the relays of the zone; 0 is the one that watches the store. Only meaningful for relays.
    std::size_t relayRank() const
    {
        return relayRank_;
    }
    /// Receivers of this gateway's own report.
    const std::vector<PeerGateway> &reportReceivers() const
    {
        return reportReceivers_;
    }
    /// Receivers of sums from a relay: the gateways of its zone that are not relays.
    const std::vector<PeerGateway> &zonePeers() const
    {
        return zonePeers_;
    }
    /// Receivers of change notices from a relay: the other gateways of its zone, with its relays.
    const std::vector<PeerGateway> &changeReceivers() const
    {
        return changeReceivers_;
    }
    /// Relays of other zones; a relay sends them the sum of its zone.
    const std::vector<PeerGateway> &otherZoneRelays() const
    {
        return otherZoneRelays_;
    }

private:
    bool isDirect_ = true;
    bool isRelay_ = false;
    std::size_t relayRank_ = 0;
    std::vector<PeerGateway> reportReceivers_;
    std::vector<PeerGateway> zonePeers_;
    std::vector<PeerGateway> changeReceivers_;
    std::vector<PeerGateway> otherZoneRelays_;
};

}

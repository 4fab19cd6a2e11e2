#pragma once

#include "core/clock.h"
#include "fleet/order_client.h"
#include "fleet/replica_view.h"

#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace carawaypoint
{

/// Asks members of replicas that may be lost whether they still answer. A sound server may be silent for a second or so, so that a member counts as
/// lost when two probes in a row had no answer. Used on the control thread only. The order client must call no handler after the prober's
/// destruction.
class MemberProber
{
public:
    /// Called for a server that answered neither probe, with the start time of its instance.
    using LossHandler = std::function<void(const VmId &server, std::uint64_t startedAt)>;

    MemberProber(OrderClient &orders, LossHandler onLost);

    /// Does nothing while this instance of the server is being probed already. @p reason is a literal for the log.
    void probe(const VmId &server, const Endpoint &address, std::uint64_t startedAt, std::string_view reason);
    /// Probes, at most every two seconds, each server whose registration has lapsed: it may only have lost the connection to the store.
    void probeLapsed(const ServerMap &servers, TimePoint now);

private:
    struct Probe {
        VmId server;
        Endpoint address;
        std::uint64_t startedAt = 0;
        std::string_view reason;
        bool isRepeated = false; // the one before had no answer
    };
    using Instance = std::pair<VmId, std::uint64_t>; // server and start time

    void send(const Probe &probe);

    OrderClient &orders_;
    LossHandler onLost_;
    std::set<Instance> inProgress_;
    std::map<VmId, TimePoint> lapsedProbeAt_; // last probe of each server whose registration has lapsed
};

}

#pragma once

#include "core/clock.h"
#include "fleet/order_client.h"
#include "fleet/replica_view.h"

#include <functional>
#include <map>
#include <string_view>

namespace carawaypoint
{

/// Asks members of replicas that may be lost whether they still answer. Used on the control thread only. The order client must call no handler
/// after the prober's destruction.
class MemberProber
{
public:
    /// Called for a server that did not answer, with the start time of its instance.
    using LossHandler = std::function<void(const VmId &server, std::uint64_t startedAt)>;

    MemberProber(OrderClient &orders, LossHandler onLost);

    /// @p reason is a literal for the log.
    void probe(const VmId &server, const Endpoint &address, std::uint64_t startedAt, std::string_view reason);
    /// Probes, at most every two seconds, each server whose registration has lapsed: it may only have lost the connection to the store.
    void probeLapsed(const ServerMap &servers, TimePoint now);

private:
    OrderClient &orders_;
    LossHandler onLost_;
    std::map<VmId, TimePoint> lapsedProbeAt_; // last probe of each server whose registration has lapsed
};

}

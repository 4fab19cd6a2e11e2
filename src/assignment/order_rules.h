#pragma once

#include "assignment/assignment_settings.h"
#include "assignment/domain_record.h"

#include <map>
#include <set>
#include <vector>

namespace carawaypoint
{

/// Orders that this process has sent to the VMs of one domain, in all epochs, and whose effect may still be to come.
class OrderTracker
{
public:
    /// @param lifetime an order without an answer can arrive no more when this time has passed since its sending.
    explicit OrderTracker(Duration lifetime)
        : lifetime_(lifetime)
    {
    }

    /// Returns a number that tells the order's answer from that of an earlier one with the same fence.
    std::uint64_t sent(const VmId &vm, FencingNumber fence, bool isRelease, TimePoint now);
    /// An answer of any kind settles an order; without one (@p isLost) it stays unsettled for its lifetime.
    void answered(const VmId &vm, std::uint64_t order, bool isLost, bool isDone);
    /// Forgets orders whose lifetime has passed. Called at every tick: a gap means that the process was paused, perhaps
    /// before an order that it counts as sent left it, so all lifetimes begin again.
    void expire(TimePoint now);
    /// Whether no order to @p vm can still be carried out.
    bool isSettled(const VmId &vm) const;
    /// Whether no order to any VM of the domain can still be carried out.
    bool isAllSettled() const;
    /// Whether an order to @p vm was sent within the last second or may still be answered.
    bool isWaiting(const VmId &vm, TimePoint now) const;
    /// Whether the release with @p fence was carried out. @p mustBeLast: and every earlier order was settled before its answer.
    bool isReleased(const VmId &vm, FencingNumber fence, bool mustBeLast) const;
    /// Forgets releases: the engines have to carry them out again.
    void forgetReleases();

private:
    struct Sent {
        std::uint64_t order = 0;
        FencingNumber fence;
        TimePoint sentAt{};
        bool isRelease = false;
        bool isLost = false;
    };
    struct Released {
        FencingNumber fence;
        bool isLast = false;
    };

    Duration lifetime_;
    std::map<VmId, std::vector<Sent>> sent_;
    std::map<VmId, TimePoint> lastSentAt_;
    std::map<VmId, Released> released_;
    std::uint64_t lastOrder_ = 0;
    TimePoint expiredAt_{};
};

struct DueOrder {
    VmId vm;
    Endpoint address;
    EngineOrder order;
};

/// What an order says for @p vm: its place in its replica, or its release. The record is all that it may say.
DueOrder orderFor(const DomainRecord &record, const VmEntry &vm);

/// Whether the engine already is what the record says, so that no order is needed.
bool isInPlace(const DomainRecord &record, const VmEntry &vm, const EngineState &state);

/// Orders to send now: for each VM whose engine was seen lately, differs from the record, waits for no answer, and loads
/// without the weight store or is among @p admittedLoads.
std::vector<DueOrder> dueOrders(const DomainRecord &record,
                                const VmObservations &observations,
                                const OrderTracker &tracker,
                                const std::set<VmId> &admittedLoads,
                                const AssignmentSettings &settings,
                                TimePoint now);

/// Whether a releasing VM is free: nothing can put it back into its replica any more.
/// @param isGone the platform's list no longer has the VM, so that its release is not answered.
bool mayFree(const DomainRecord &record, const VmEntry &vm, const OrderTracker &tracker, const AssignmentSettings &settings, bool isGone);

}

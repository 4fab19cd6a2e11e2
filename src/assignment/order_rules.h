#pragma once

#include "assignment/assignment_settings.h"
#include "assignment/domain_record.h"

#include <map>
#include <set>
#include <vector>

namespace carawaypoint
{

/// Tracks the orders that this process has sent to the VMs of one domain, in all epochs, until they can no longer take
/// effect.
class OrderTracker
{
public:
    /// @param lifetime time after the sending of an unanswered order after which it can no longer arrive.
    explicit OrderTracker(Duration lifetime)
        : lifetime_(lifetime)
    {
    }

    /// Records that an order was sent. Returns its number, which distinguishes its answer from those of other orders with
    /// the same fencing number.
    std::uint64_t recordSent(const VmId &vm, FencingNumber fence, bool isRelease, TimePoint now);
    /// Records the result of an order. Any answer settles it; without one (@p isLost) it stays unsettled for its lifetime.
    /// @param isDone whether the engine carried the order out.
    void recordAnswer(const VmId &vm, std::uint64_t number, bool isLost, bool isDone);
    /// Removes orders whose lifetime has passed. Called at every tick. A gap between calls means that the process was paused,
    /// perhaps before an order recorded as sent had left it, so all lifetimes start again.
    void expireOrders(TimePoint now);
    /// Whether no order to @p vm can still be carried out.
    bool isSettled(const VmId &vm) const;
    /// Whether no order to any VM of the domain can still be carried out.
    bool isAllSettled() const;
    /// Whether an order to @p vm was sent within the last second (ResendInterval) or may still be answered.
    bool isAwaitingAnswer(const VmId &vm, TimePoint now) const;
    /// Whether the release with @p fence was carried out.
    /// @param mustBeLast whether every earlier order must also have been settled when the release was answered.
    bool isReleaseDone(const VmId &vm, FencingNumber fence, bool mustBeLast) const;
    /// Removes all completed releases, so that the engines have to carry them out again.
    void clearReleases();

private:
    struct SentOrder {
        std::uint64_t number = 0;
        FencingNumber fence;
        TimePoint sentAt{};
        bool isRelease = false;
        bool isLost = false; // got no answer
    };
    struct CompletedRelease {
        FencingNumber fence;
        bool isLastOrder = false; // no earlier order was unsettled when the release was answered
    };

    Duration lifetime_;
    std::map<VmId, std::vector<SentOrder>> sentOrders_;
    std::map<VmId, TimePoint> lastSentAt_;
    std::map<VmId, CompletedRelease> completedReleases_;
    std::uint64_t lastOrderNumber_ = 0;
    TimePoint lastExpiryAt_{}; // time of the last expireOrders()
};

/// An order to send and its destination.
struct DueOrder {
    VmId vm;
    Endpoint address;
    EngineOrder order;
};

/// The order that brings @p vm into the state of the record: its place in its replica, or its release.
DueOrder orderFor(const DomainRecord &record, const VmEntry &vm);

/// Whether the engine's state matches the record, so that no order is needed.
bool matchesRecord(const DomainRecord &record, const VmEntry &vm, const EngineState &state);

/// Orders to send now: one for each VM whose engine was observed within missingTimeout, differs from the record and has no
/// unanswered order, and which can load without the weight store or is in @p admittedLoads.
std::vector<DueOrder> dueOrders(const DomainRecord &record,
                                const VmObservations &observations,
                                const OrderTracker &tracker,
                                const std::set<VmId> &admittedLoads,
                                const AssignmentSettings &settings,
                                TimePoint now);

/// Whether a releasing VM may become free, because no order can assign it to its replica any more.
/// @param isRemovedByPlatform whether the platform's list no longer has the VM, so that its release is not answered.
bool mayFree(const DomainRecord &record, const VmEntry &vm, const OrderTracker &tracker, const AssignmentSettings &settings, bool isRemovedByPlatform);

}

#pragma once

#include "core/moving_average.h"
#include "routing/admission_policy.h"
#include "routing/admission_queue.h"
#include "routing/customer_share_tracker.h"
#include "routing/request_record.h"

#include <array>
#include <memory>
#include <string>
#include <unordered_map>

namespace carawaypoint
{

/// Why a request is refused and when its caller may retry; ResultCode::Ok when it is not refused.
struct Refusal {
    ResultCode code = ResultCode::Ok;
    Duration retryAfter{};

    bool isRefused() const
    {
        return code != ResultCode::Ok;
    }
};

/// Decides which requests may wait for a replica. Owns the queue of each model and the customers' shares of the slots.
class AdmissionControl
{
public:
    AdmissionControl();

    /// Selects the strategies by name; an unknown name changes nothing.
    void setStrategies(const std::string &queueOrder, const std::string &admission);
    /// Recomputes the customers' shares from the snapshot.
    /// @param capacity slots that all daemons of the zone share.
    void updateShares(const RoutingSnapshot &snapshot, double capacity);
    /// Whether the share tracker has an entry for @p customer.
    bool isKnownCustomer(const CustomerId &customer) const;

    /// Decides whether a new request may enter the queue of its model.
    Refusal checkNewRequest(const RequestRecord &record, TimePoint now);
    /// Decides whether a request at the head of its queue can still get its first token before its deadline.
    Refusal checkWaitingRequest(const RequestRecord &record, TimePoint now);

    /// Appends a request to the queue of its model.
    void push(std::uint64_t ticket, const RequestRecord &record);
    /// Removes a request from its queue after it was cancelled, refused or granted.
    void remove(std::uint64_t ticket, const RequestRecord &record);
    AdmissionQueue &queue(const ModelId &model);
    /// Models that have had a request since the daemon started.
    std::vector<ModelId> models() const;

    /// @param sinceGrant time from the grant of the request to its first token.
    void recordFirstToken(const RequestRecord &record, Duration sinceGrant);
    /// Mean time that short requests of @p model hold a slot, in seconds; 0 until the first one completed.
    double shortSlotSeconds(const ModelId &model);
    /// @param held time from the grant of a completed request to its end.
    void recordSlotTime(const ModelId &model, bool isLong, Duration held);

    CustomerShareTracker &customerShares()
    {
        return customerShares_;
    }
    const CustomerShareTracker &customerShares() const
    {
        return customerShares_;
    }

private:
    /// Moving averages of the time from the grant to the first token, in microseconds.
    struct FirstTokenTime {
        MovingAverage mean;
        MovingAverage deviation;
    };
    struct ModelState {
        std::unique_ptr<AdmissionQueue> queue;
        std::array<MovingAverage, 2> slotSeconds; // mean time that [0] short and [1] long requests hold a slot
        std::array<FirstTokenTime, 2> firstTokenTimes; // of customers [0] within and [1] above their share
    };

    /// Estimated time from the grant to the first token; at most a fixed part of @p limit.
    Duration expectedFirstTokenTime(const ModelId &model, bool isOverShare, Duration limit);
    ModelState &stateOf(const ModelId &model);
    void setQueueOrder(const std::string &name);

    std::string queueName_;
    std::string admissionName_;
    std::unique_ptr<AdmissionPolicy> admission_;
    CustomerShareTracker customerShares_;
    std::unordered_map<ModelId, ModelState> states_;
};

}

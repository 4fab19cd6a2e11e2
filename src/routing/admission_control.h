#pragma once

#include "core/moving_average.h"
#include "routing/admission_policy.h"
#include "routing/admission_queue.h"
#include "routing/customer_accounts.h"
#include "routing/request_record.h"

#include <array>
#include <memory>
#include <string>
#include <unordered_map>

namespace carawaypoint
{

/// Why a request is not run, and when the caller may try again.
struct Refusal {
    ResultCode code = ResultCode::Ok;
    Duration retryAfter{};

    bool isRefused() const
    {
        return code != ResultCode::Ok;
    }
};

/// The queues of all models, the customers' shares, and the decision which requests may wait.
class AdmissionControl
{
public:
    AdmissionControl();

    /// Selects the strategies by name; an unknown name changes nothing.
    void setStrategies(const std::string &queueOrder, const std::string &admission);
    /// Determines the customers' shares anew.
    /// @param capacity slots that all daemons of the zone share.
    void updateShares(const RoutingSnapshot &snapshot, double capacity);
    bool isKnown(const CustomerId &customer) const;

    /// Whether a new request may wait.
    Refusal checkNew(const RequestRecord &record, TimePoint now);
    /// Whether a request that is next in its queue is still worth granting.
    Refusal checkWaiting(const RequestRecord &record, TimePoint now);

    void push(std::uint64_t ticket, const RequestRecord &record);
    /// Takes a request out that was cancelled, refused or granted.
    void remove(std::uint64_t ticket, const RequestRecord &record);
    AdmissionQueue &queue(const ModelId &model);
    std::vector<ModelId> models() const;

    void noteFirstToken(const RequestRecord &record, Duration sinceGrant);
    /// Mean seconds that short requests hold a slot; 0 when none ended yet.
    double shortSlotSeconds(const ModelId &model);
    void noteSlotTime(const ModelId &model, bool isLong, Duration held);

    CustomerAccounts &accounts()
    {
        return accounts_;
    }
    const CustomerAccounts &accounts() const
    {
        return accounts_;
    }

private:
    /// Time from the grant to the first token, in microseconds.
    struct FirstTokenTime {
        MovingAverage mean;
        MovingAverage deviation;
    };
    struct ModelState {
        std::unique_ptr<AdmissionQueue> queue;
        std::array<MovingAverage, 2> slotTime; // seconds that short and long requests hold a slot
        std::array<FirstTokenTime, 2> firstToken; // of customers within and above their share
    };

    Duration firstTokenTime(const ModelId &model, bool isOverShare, Duration limit);
    ModelState &stateOf(const ModelId &model);
    void setQueueOrder(const std::string &name);

    std::string queueName_;
    std::string admissionName_;
    std::unique_ptr<AdmissionPolicy> admission_;
    CustomerAccounts accounts_;
    std::unordered_map<ModelId, ModelState> states_;
};

}

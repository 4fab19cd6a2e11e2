#pragma once

#include "core/clock.h"
#include "core/result_code.h"

#include <memory>
#include <span>
#include <string_view>

namespace carawaypoint
{

/// Inputs of an admission decision for one request.
struct AdmissionInput {
    Duration timeUntilDeadline{};
    Duration expectedFirstTokenTime{}; // from the grant to the first token
    double meanSlotSeconds = 0; // mean time that a request of the same class (short or long) holds a slot
    double meanShortSlotSeconds = 0; // mean time that a short request holds a slot
    double requestsAhead = 0; // requests of the same class that are served before this one
    double shortRequestsAhead = 0; // short requests that are served before this one when it is long
    double servingSlots = 1; // slots that serve the requests ahead and this one
    double usedShare = 0; // slots in use by the customer / its guaranteed slots
    std::size_t queueLength = 0; // requests of all customers that wait for the model
};

struct AdmissionVerdict {
    ResultCode code = ResultCode::Ok;
    Duration expectedWait{};
    Duration retryAfter{};
};

/// Strategy that accepts a new request into the queue or refuses it immediately.
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;
    virtual AdmissionVerdict check(const AdmissionInput &input) const = 0;
    /// Whether a waiting request that can no longer get its first token before its deadline is refused instead of granted.
    virtual bool refusesUnmeetableDeadlines() const = 0;
};

/// Creates the strategy called @p name; null for an unknown name.
std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(std::string_view name);

/// Names that makeAdmissionPolicy() accepts.
std::span<const std::string_view> admissionPolicyNames();

}

#pragma once

#include "core/clock.h"
#include "core/result_code.h"

#include <memory>
#include <span>
#include <string_view>

namespace carawaypoint
{

/// What an admission decision is made from.
struct AdmissionInput {
    Duration untilDeadline{};
    Duration firstTokenTime{}; // from the grant to the first token, mean
    double slotTime = 0; // seconds that a request of this class holds a slot, mean
    double shortSlotTime = 0;
    double waiting = 0; // requests that go first and hold their slots as long as this one
    double waitingShort = 0; // short requests that go first when this one is long
    double slots = 1; // that serve those and this one
    double usedShare = 0; // of the guaranteed share
    std::size_t queued = 0; // requests of all customers
};

struct AdmissionVerdict {
    ResultCode code = ResultCode::Ok;
    Duration expectedWait{};
    Duration retryAfter{};
};

/// Strategy that accepts a request into the queue or refuses it at once.
class AdmissionPolicy
{
public:
    virtual ~AdmissionPolicy() = default;
    virtual AdmissionVerdict check(const AdmissionInput &input) const = 0;
    /// Whether a request that can't get its first token in time any more is refused instead of granted.
    virtual bool shedsHopeless() const = 0;
};

/// Creates the strategy of that name; null when there is none.
std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(std::string_view name);

/// The names that makeAdmissionPolicy() knows.
std::span<const std::string_view> admissionPolicyNames();

}

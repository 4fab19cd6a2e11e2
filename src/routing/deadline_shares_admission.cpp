#include "routing/deadline_shares_admission.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{
constexpr std::size_t MaxQueued = 10000; // per model; bounds the memory of a daemon when answers take very long
constexpr Duration MinRetryAfter = milliseconds(500);
constexpr Duration MaxRetryAfter = seconds(30);
}

AdmissionVerdict DeadlineSharesAdmission::check(const AdmissionInput &input) const
{
    AdmissionVerdict verdict;
    const double ahead = input.waiting * input.slotTime + input.waitingShort * input.shortSlotTime;
    verdict.expectedWait = Duration(static_cast<Duration::rep>(1e6 * ahead / std::max(1.0, input.slots)));
    const Duration late = verdict.expectedWait + input.firstTokenTime - input.untilDeadline;
    if (input.queued >= MaxQueued) {
        verdict.code = ResultCode::QueueFull;
    } else if (late > Duration::zero()) {
        verdict.code = input.usedShare >= 1 ? ResultCode::CustomerOverShare : ResultCode::DeadlineWouldPass;
    }
    if (verdict.code != ResultCode::Ok) {
        verdict.retryAfter = std::clamp(late, MinRetryAfter, MaxRetryAfter);
    }
    return verdict;
}

bool DeadlineSharesAdmission::shedsHopeless() const
{
    return true;
}

}

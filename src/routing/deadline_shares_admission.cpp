#include "routing/deadline_shares_admission.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{
constexpr std::size_t MaxQueueLength = 10000; // requests per model; limits the memory of a daemon when answers take very long
constexpr Duration MinRetryAfter = milliseconds(500);
constexpr Duration MaxRetryAfter = seconds(30);
}

AdmissionVerdict DeadlineSharesAdmission::check(const AdmissionInput &input) const
{
    AdmissionVerdict verdict;
    const double secondsOfWorkAhead = input.requestsAhead * input.meanSlotSeconds + input.shortRequestsAhead * input.meanShortSlotSeconds;
    verdict.expectedWait = Duration(static_cast<Duration::rep>(1e6 * secondsOfWorkAhead / std::max(1.0, input.servingSlots)));
    const Duration lateness = verdict.expectedWait + input.expectedFirstTokenTime - input.timeUntilDeadline;
    if (input.queueLength >= MaxQueueLength) {
        verdict.code = ResultCode::QueueFull;
    } else if (lateness > Duration::zero()) {
        verdict.code = input.usedShare >= 1 ? ResultCode::CustomerOverShare : ResultCode::DeadlineWouldPass;
    }
    if (verdict.code != ResultCode::Ok) {
        verdict.retryAfter = std::clamp(lateness, MinRetryAfter, MaxRetryAfter);
    }
    return verdict;
}

bool DeadlineSharesAdmission::refusesUnmeetableDeadlines() const
{
    return true;
}

}

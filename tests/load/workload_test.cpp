#include "load/load_report.h"
#include "load/reference_answer.h"
#include "load/workload.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace carawaypoint
{

// Guards against a reference answer that differs after a resumption, which the load generator would report as wrong content.
TEST(ReferenceAnswer, tokensDependOnPromptAndPositionOnly)
{
    const ReferenceAnswer first("a prompt tokens=40", 0);
    const ReferenceAnswer second("a prompt tokens=40", 30);
    EXPECT_EQ(first.length(), 40U);
    EXPECT_EQ(second.length(), 30U);
    EXPECT_EQ(first.token(29), second.token(29));
    EXPECT_NE(first.token(1), ReferenceAnswer("another prompt tokens=40", 0).token(1));
    EXPECT_EQ(first.fullText().size(), 40 * first.token(0).size());
}

// Guards against measurements of two policies that use different requests although the seed is the same.
TEST(Workload, sameSeedGivesSameRequests)
{
    WorkloadOptions options;
    options.rate = 50;
    const auto first = planWorkload(options);
    const auto second = planWorkload(options);
    ASSERT_EQ(first.size(), second.size());
    for (std::size_t index = 0; index < first.size(); ++index) {
        EXPECT_EQ(first[index].prompt, second[index].prompt);
        EXPECT_EQ(first[index].at, second[index].at);
    }
    options.seed = 2;
    EXPECT_NE(planWorkload(options).front().prompt, first.front().prompt);
}

// Guards against a peak that does not raise the rate, or whose requests do not come mainly from the first customer.
TEST(Workload, peakAddsRequestsOfTheFirstCustomer)
{
    WorkloadOptions options;
    options.rate = 20;
    options.peakRate = 200;
    options.peakRampTime = milliseconds(500);
    options.duration = seconds(9);
    const auto requests = planWorkload(options);
    const auto isInPeak = [&options](const PlannedRequest &request) {
        return request.at >= options.peakStart + options.peakRampTime && request.at < options.peakStart + options.peakDuration;
    };
    const auto count = std::count_if(requests.begin(), requests.end(), isInPeak);
    EXPECT_NEAR(static_cast<double>(count), 200 * 2.5, 75);
    const auto ofFirst = std::count_if(requests.begin(), requests.end(),
                                       [&](const PlannedRequest &request) { return isInPeak(request) && request.customer.str() == "customer-1"; });
    EXPECT_GT(ofFirst, count / 2);
}

// Guards against idempotency keys with a wrong time field: the daemons read the time of a key and refuse wrong ones.
TEST(TimeOrderedUuid, containsTimeAndVersion)
{
    const std::string uuid = makeTimeOrderedUuid(std::chrono::milliseconds(0x0123456789ab), ~0ULL, ~0ULL);
    EXPECT_EQ(uuid, "01234567-89ab-7fff-bfff-ffffffffffff");
}

// Guards against quantiles whose error exceeds the documented 2%.
TEST(LatencyHistogram, quantilesAreWithinTwoPercent)
{
    LatencyHistogram histogram;
    for (int ms = 1; ms <= 1000; ++ms) {
        histogram.add(milliseconds(ms));
    }
    EXPECT_NEAR(std::chrono::duration<double>(histogram.quantile(0.5)).count(), 0.5, 0.011);
    EXPECT_NEAR(std::chrono::duration<double>(histogram.quantile(0.99)).count(), 0.99, 0.021);
    EXPECT_EQ(LatencyHistogram().quantile(0.5), Duration::zero());
}

// Guards against truncated or altered answers that count as complete.
TEST(LoadReport, countsOnlyCompleteAnswers)
{
    LoadReport report;
    LoadResult complete;
    complete.isComplete = true;
    complete.resultCode = "ok";
    LoadResult wrong;
    wrong.hasWrongContent = true;
    report.add(complete);
    report.add(wrong);
    EXPECT_EQ(report.count(), 2U);
    EXPECT_EQ(report.whole(), 1U);
    EXPECT_EQ(report.wrong(), 1U);
}

}

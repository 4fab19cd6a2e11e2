#include "load/load_report.h"
#include "load/reference_answer.h"
#include "load/workload.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace carawaypoint
{

// Guards against a resumed answer that does not continue the same text, which the checks could not tell from a fault.
TEST(ReferenceAnswer, tokensDependOnPromptAndPositionOnly)
{
    const ReferenceAnswer first("a prompt tokens=40", 0);
    const ReferenceAnswer second("a prompt tokens=40", 30);
    EXPECT_EQ(first.length(), 40U);
    EXPECT_EQ(second.length(), 30U);
    EXPECT_EQ(first.token(29), second.token(29));
    EXPECT_NE(first.token(1), ReferenceAnswer("another prompt tokens=40", 0).token(1));
    EXPECT_EQ(first.wholeText().size(), 40 * first.token(0).size());
}

// Guards against baseline and chosen policy being measured with different requests.
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

// Guards against a crest that does not raise the rate or is not caused by one customer.
TEST(Workload, crestRaisesRateByOneCustomer)
{
    WorkloadOptions options;
    options.rate = 20;
    options.crestRate = 200;
    options.crestRamp = milliseconds(500);
    options.duration = seconds(9);
    const auto requests = planWorkload(options);
    const auto inCrest = [&options](const PlannedRequest &request) {
        return request.at >= options.crestStart + options.crestRamp && request.at < options.crestStart + options.crestLength;
    };
    const auto count = std::count_if(requests.begin(), requests.end(), inCrest);
    EXPECT_NEAR(static_cast<double>(count), 200 * 2.5, 75);
    const auto ofFirst = std::count_if(requests.begin(), requests.end(),
                                       [&](const PlannedRequest &request) { return inCrest(request) && request.customer.str() == "customer-1"; });
    EXPECT_GT(ofFirst, count / 2);
}

// Guards against keys whose time cannot be read back, which the claims would refuse.
TEST(TimeOrderedUuid, carriesTimeAndVersion)
{
    const std::string uuid = makeTimeOrderedUuid(std::chrono::milliseconds(0x0123456789ab), ~0ULL, ~0ULL);
    EXPECT_EQ(uuid, "01234567-89ab-7fff-bfff-ffffffffffff");
}

// Guards against quantiles that are off by more than the stated resolution.
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

// Guards against truncated or altered answers counted as whole.
TEST(LoadReport, countsOnlyWholeAnswers)
{
    LoadReport report;
    LoadResult whole;
    whole.isWhole = true;
    whole.resultCode = "ok";
    LoadResult wrong;
    wrong.hasWrongContent = true;
    report.add(whole);
    report.add(wrong);
    EXPECT_EQ(report.count(), 2U);
    EXPECT_EQ(report.whole(), 1U);
    EXPECT_EQ(report.wrong(), 1U);
}

}

#include "observe/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace carawaypoint
{

using testing::HasSubstr;
using testing::Not;

// Guards against a table of metric names in a different order from its enumeration.
TEST(MetricsRegistry, serializesEachKindUnderItsName)
{
    MetricsRegistry registry;
    registry.count(CounterMetric::Requests, "ok", 2);
    registry.count(CounterMetric::EngineOrders, "order_stale");
    registry.set(GaugeMetric::ConfigGeneration, {}, 7);
    registry.set(GaugeMetric::DroppedLogLines, {}, 3);
    registry.observe(HistogramMetric::FirstToken, "short", 1.5);
    registry.observe(HistogramMetric::ServiceCall, "booking", 0.2);
    const auto text = registry.serialize();
    EXPECT_THAT(text, HasSubstr("carawaypoint_requests_total{code=\"ok\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("carawaypoint_engine_orders_total{code=\"order_stale\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("carawaypoint_config_generation 7\n"));
    EXPECT_THAT(text, HasSubstr("carawaypoint_dropped_log_lines 3\n"));
    EXPECT_THAT(text, HasSubstr("carawaypoint_first_token_seconds_bucket{work=\"short\",le=\"1.6\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("carawaypoint_first_token_seconds_bucket{work=\"short\",le=\"1.2\"} 0\n"));
    EXPECT_THAT(text, HasSubstr("carawaypoint_service_call_seconds_count{service=\"booking\"} 1\n"));
}

// Guards against label values from callers that fill the memory.
TEST(MetricsRegistry, labelValuesAreBounded)
{
    MetricsRegistry registry;
    for (int i = 0; i < 1000; ++i) {
        registry.count(CounterMetric::Tokens, "model-" + std::to_string(i));
    }
    const auto text = registry.serialize();
    EXPECT_THAT(text, HasSubstr("{model=\"model-63\"} 1\n"));
    EXPECT_THAT(text, Not(HasSubstr("model-64")));
    EXPECT_THAT(text, HasSubstr("{model=\"other\"} 936\n"));
}

}

#pragma once

#include "observe/metrics.h"
#include "serving/serving_metrics.h"

namespace carawaypoint
{

/// Counts what the front end reports in the process's metrics.
class ServingMetricsAdapter : public ServingMetrics
{
public:
    explicit ServingMetricsAdapter(MetricsRegistry &registry)
        : registry_(registry)
        , firstToken_(registry.histogram(HistogramMetric::FirstToken, "all"))
        , tokens_(registry.counter(CounterMetric::Tokens, "all"))
    {
    }

    void count(ServingEvent event, std::uint64_t amount) override;
    void requestFinished(ResultCode code, RunState state, Duration total) override;
    void firstToken(Duration sinceArrival) override;

private:
    MetricsRegistry &registry_;
    HistogramHandle firstToken_;
    CounterHandle tokens_;
};

}

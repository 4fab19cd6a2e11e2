#pragma once

#include "observe/metrics.h"
#include "serving/serving_metrics.h"

namespace carawaypoint
{

/// Records the measurements of the front end in the metrics registry.
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
    void onRequestFinished(ResultCode code, RunState state, Duration total) override;
    void onFirstToken(Duration sinceArrival) override;

private:
    MetricsRegistry &registry_;
    HistogramHandle firstToken_;
    CounterHandle tokens_;
};

}

#include "daemon/serving_metrics_adapter.h"

namespace carawaypoint
{

void ServingMetricsAdapter::count(ServingEvent event, std::uint64_t amount)
{
    const auto by = static_cast<double>(amount);
    switch (event) {
    case ServingEvent::TokensDelivered:
        tokens_.add(by);
        break;
    case ServingEvent::WrongAttemptDropped:
        registry_.count(CounterMetric::DroppedAnswers, "wrong_attempt", by);
        break;
    case ServingEvent::RepeatedTokenDropped:
        registry_.count(CounterMetric::DroppedAnswers, "repeated_token", by);
        break;
    case ServingEvent::TokenGap:
        registry_.count(CounterMetric::CutStreams, "token_gap", by);
        break;
    case ServingEvent::TruncatedAnswer:
        registry_.count(CounterMetric::CutStreams, "truncated", by);
        break;
    case ServingEvent::Resumed:
        registry_.count(CounterMetric::Retries, "resumed", by);
        break;
    case ServingEvent::FreshConnectionRetry:
        registry_.count(CounterMetric::Retries, "fresh_connection", by);
        break;
    default:
        break;
    }
}

void ServingMetricsAdapter::requestFinished(ResultCode code, RunState /*state*/, Duration /*total*/)
{
    registry_.count(CounterMetric::Requests, resultCodeName(code));
}

void ServingMetricsAdapter::firstToken(Duration sinceArrival)
{
    firstToken_.observe(std::chrono::duration<double>(sinceArrival).count());
}

}

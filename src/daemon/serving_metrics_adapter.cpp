#include "daemon/serving_metrics_adapter.h"

namespace carawaypoint
{

void ServingMetricsAdapter::count(ServingEvent event, std::uint64_t amount)
{
    const auto increment = static_cast<double>(amount);
    switch (event) {
    case ServingEvent::TokensDelivered:
        tokens_.add(increment);
        break;
    case ServingEvent::WrongAttemptDropped:
        registry_.count(CounterMetric::DroppedAnswers, "wrong_attempt", increment);
        break;
    case ServingEvent::RepeatedTokenDropped:
        registry_.count(CounterMetric::DroppedAnswers, "repeated_token", increment);
        break;
    case ServingEvent::TokenGap:
        registry_.count(CounterMetric::CutStreams, "token_gap", increment);
        break;
    case ServingEvent::TruncatedAnswer:
        registry_.count(CounterMetric::CutStreams, "truncated", increment);
        break;
    case ServingEvent::Resumed:
        registry_.count(CounterMetric::Retries, "resumed", increment);
        break;
    case ServingEvent::FreshConnectionRetry:
        registry_.count(CounterMetric::Retries, "fresh_connection", increment);
        break;
    default:
        break;
    }
}

void ServingMetricsAdapter::onRequestFinished(ResultCode code, RunState /*state*/, Duration /*total*/)
{
    registry_.count(CounterMetric::Requests, resultCodeName(code));
}

void ServingMetricsAdapter::onFirstToken(Duration sinceArrival)
{
    firstToken_.observe(std::chrono::duration<double>(sinceArrival).count());
}

}

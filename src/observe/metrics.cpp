#include "observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>
#include <vector>

namespace carawaypoint
{

namespace
{

struct MetricInfo {
    const char *name;
    const char *label; // empty for metrics without a label
    const char *help;
};

// In the order of CounterMetric.
constexpr MetricInfo CounterInfos[] = {
    {"carawaypoint_requests_total", "code", "Requests by result code"},
    {"carawaypoint_tokens_total", "model", "Tokens passed to callers"},
    {"carawaypoint_retries_total", "reason", "Attempts after the first of a request"},
    {"carawaypoint_dropped_answers_total", "reason", "Answers of backend servers that were not passed on"},
    {"carawaypoint_cut_streams_total", "reason", "Streams closed before their end"},
    {"carawaypoint_platform_calls_total", "call", "Calls to the platform"},
    {"carawaypoint_platform_errors_total", "code", "Failed calls to the platform by result code"},
    {"carawaypoint_peer_bytes_total", "direction", "Bytes of the inner protocol"},
    {"carawaypoint_engine_orders_total", "code", "Orders to engines by result code"},
    {"carawaypoint_ignored_server_loads_total", "reason", "Loads stated by backend servers that were not used"},
    {"carawaypoint_crash_evidence_total", "source",
     "Requests lost with their servers before an answer (own), and reports of other daemons with such evidence (peer)"},
    {"carawaypoint_server_statements_total", "statement", "Responses in which a backend server states that it leaves or accepts no requests for a time"},
    {"carawaypoint_unread_requests_total", "code", "Requests that a gateway refused before it had read them"},
    {"carawaypoint_unreadable_objects_total", "kind", "Objects of the store that were left out because they cannot be read, each revision once"},
    {"carawaypoint_proxied_connections_total", "status", "Connections to servers that other gateways asked for, by the status of the answer"},
    {"carawaypoint_store_eras_total", "change",
     "Times that the store came back from an older copy (risen) or was behind a known revision (receded), and its answers from an ended era (outdated) or with "
     "an invalid era (malformed)"},
};
// In the order of GaugeMetric.
constexpr MetricInfo GaugeInfos[] = {
    {"carawaypoint_queue_length", "work", "Requests that wait for a slot"},
    {"carawaypoint_requests_in_progress", "work", "Requests sent to a backend server and not ended"},
    {"carawaypoint_replicas", "state", "Replicas by state"},
    {"carawaypoint_stranded_accelerators", "domain", "Accelerators outside any complete replica"},
    {"carawaypoint_members", "state", "Daemons by state"},
    {"carawaypoint_config_generation", "", "Generation of the configuration in force"},
    {"carawaypoint_active_alarms", "", "Active alarms"},
    {"carawaypoint_dropped_log_lines", "", "Log lines dropped by a full queue"},
    {"carawaypoint_model_requests", "model", "Requests in progress at the model's replicas, of all daemons; at the holder of the lease"},
    {"carawaypoint_model_unmet_requests", "model", "Requests that would also be in progress if none had been rejected; at the holder of the lease"},
    {"carawaypoint_quarantined_traits", "", "Parts of prompts, or sets of them, whose requests are refused since they crash backend servers"},
    {"carawaypoint_server_links_lost", "", "1 while no server accepts connections from this gateway and it sends requests through others"},
};
// In the order of HistogramMetric.
constexpr MetricInfo HistogramInfos[] = {
    {"carawaypoint_first_token_seconds", "work", "Time from a request's arrival to its first token"},
    {"carawaypoint_token_interval_seconds", "work", "Time between two tokens of a stream"},
    {"carawaypoint_queue_wait_seconds", "work", "Time that a request waited for a slot"},
    {"carawaypoint_service_call_seconds", "service", "Duration of calls to plain services"},
};
// Seconds. Narrow buckets around the targets of 45 ms between tokens and 1.6 s to the first token.
const prometheus::Histogram::BucketBoundaries Buckets{0.001, 0.005, 0.01, 0.02, 0.045, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 5, 10, 30, 60};

/// The series of one metric, by label value.
template<typename Metric>
struct Series {
    prometheus::Family<Metric> *family = nullptr;
    const char *label = "";
    std::map<std::string, Metric *, std::less<>> byLabel;

    template<typename... Arguments>
    Metric &find(std::string_view value, const Arguments &...arguments)
    {
        if (const auto found = byLabel.find(value); found != byLabel.end()) {
            return *found->second;
        }
        if (byLabel.size() >= MetricsRegistry::MaxLabelValues) {
            value = "other";
        }
        auto &metric = *label == '\0' ? family->Add({}, arguments...) : family->Add({{label, std::string(value)}}, arguments...);
        // The series "other" is added beyond the limit.
        byLabel.emplace(value, &metric);
        return metric;
    }
};

template<typename Metric, typename Builder, std::size_t Count>
std::vector<Series<Metric>> makeSeries(prometheus::Registry &registry, Builder makeBuilder, const MetricInfo (&infos)[Count])
{
    std::vector<Series<Metric>> series(Count);
    for (std::size_t i = 0; i < Count; ++i) {
        series[i].family = &makeBuilder().Name(infos[i].name).Help(infos[i].help).Register(registry);
        series[i].label = infos[i].label;
    }
    return series;
}

}

struct MetricsRegistry::State {
    prometheus::Registry registry;
    std::mutex mutex;
    std::vector<Series<prometheus::Counter>> counters = makeSeries<prometheus::Counter>(registry, prometheus::BuildCounter, CounterInfos);
    std::vector<Series<prometheus::Gauge>> gauges = makeSeries<prometheus::Gauge>(registry, prometheus::BuildGauge, GaugeInfos);
    std::vector<Series<prometheus::Histogram>> histograms = makeSeries<prometheus::Histogram>(registry, prometheus::BuildHistogram, HistogramInfos);
};

void CounterHandle::add(double by) const
{
    counter_->Increment(by);
}

void GaugeHandle::set(double value) const
{
    gauge_->Set(value);
}

void GaugeHandle::add(double by) const
{
    gauge_->Increment(by);
}

void HistogramHandle::observe(double durationSeconds) const
{
    histogram_->Observe(durationSeconds);
}

MetricsRegistry::MetricsRegistry()
    : state_(std::make_unique<State>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

CounterHandle MetricsRegistry::counter(CounterMetric metric, std::string_view label)
{
    const std::lock_guard lock(state_->mutex);
    return CounterHandle(state_->counters.at(static_cast<std::size_t>(metric)).find(label));
}

GaugeHandle MetricsRegistry::gauge(GaugeMetric metric, std::string_view label)
{
    const std::lock_guard lock(state_->mutex);
    return GaugeHandle(state_->gauges.at(static_cast<std::size_t>(metric)).find(label));
}

HistogramHandle MetricsRegistry::histogram(HistogramMetric metric, std::string_view label)
{
    const std::lock_guard lock(state_->mutex);
    return HistogramHandle(state_->histograms.at(static_cast<std::size_t>(metric)).find(label, Buckets));
}

void MetricsRegistry::count(CounterMetric metric, std::string_view label, double by)
{
    counter(metric, label).add(by);
}

void MetricsRegistry::set(GaugeMetric metric, std::string_view label, double value)
{
    gauge(metric, label).set(value);
}

void MetricsRegistry::observe(HistogramMetric metric, std::string_view label, double durationSeconds)
{
    histogram(metric, label).observe(durationSeconds);
}

std::string MetricsRegistry::serialize() const
{
    return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

MetricsRegistry &metricsRegistry()
{
    static MetricsRegistry registry;
    return registry;
}

}

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
}

namespace carawaypoint
{

/// Counters. The comment names the label and, after a colon, its values.
enum class CounterMetric : std::uint8_t {
    Requests, // code: name of the result code
    Tokens, // model
    Retries, // reason
    DroppedAnswers, // reason
    CutStreams, // reason
    PlatformCalls, // call: fetch, put, remove, list, watch, list_vms
    PlatformErrors, // code: name of the result code
    PeerBytes, // direction: in, out
    EngineOrders, // code: name of the result code
    IgnoredServerLoads, // reason: malformed
    CrashEvidence, // source: own, peer
    ServerStatements, // statement: leaving, deferred, malformed
    UnreadRequests, // code: name of the result code
    UnreadableObjects, // kind
    ProxiedConnections, // status: of the answer to a gateway that asked for a connection to a server
    StoreEras, // change: risen, receded, outdated, malformed
};

/// Gauges. The comment names the label and, after a colon, its values.
enum class GaugeMetric : std::uint8_t {
    QueueLength, // work: short, long
    RequestsInProgress, // work: short, long
    Replicas, // state
    StrandedAccelerators, // domain
    Members, // state
    ConfigGeneration, // no label
    ActiveAlarms, // no label
    DroppedLogLines, // no label
    ModelRequests, // model
    ModelUnmetRequests, // model
    QuarantinedTraits, // no label
    ServerLinksLost, // no label
};

/// Histograms in seconds. The comment names the label and, after a colon, its values.
enum class HistogramMetric : std::uint8_t {
    FirstToken, // work: short, long
    TokenInterval, // work: short, long
    QueueWait, // work: short, long
    ServiceCall, // service
};

/// Handle of one counter series. Handles are valid as long as their registry and are updated without a lock.
class CounterHandle
{
public:
    explicit CounterHandle(prometheus::Counter &counter)
        : counter_(&counter)
    {
    }
    void add(double by = 1) const;

private:
    prometheus::Counter *counter_;
};

class GaugeHandle
{
public:
    explicit GaugeHandle(prometheus::Gauge &gauge)
        : gauge_(&gauge)
    {
    }
    void set(double value) const;
    void add(double by) const;

private:
    prometheus::Gauge *gauge_;
};

class HistogramHandle
{
public:
    explicit HistogramHandle(prometheus::Histogram &histogram)
        : histogram_(&histogram)
    {
    }
    void observe(double durationSeconds) const;

private:
    prometheus::Histogram *histogram_;
};

/// The metrics of one process. Thread-safe.
///
/// Each metric has at most one label. The number of its values is limited, so that callers cannot fill the memory with series:
/// further values after MaxLabelValues are counted together as "other".
class MetricsRegistry
{
public:
    static constexpr std::size_t MaxLabelValues = 64;

    MetricsRegistry();
    ~MetricsRegistry();

    /// Returns the handle of a series. The look-up takes a lock, so code that runs for each request should store the handle.
    CounterHandle counter(CounterMetric metric, std::string_view label = {});
    GaugeHandle gauge(GaugeMetric metric, std::string_view label = {});
    HistogramHandle histogram(HistogramMetric metric, std::string_view label = {});

    void count(CounterMetric metric, std::string_view label = {}, double by = 1);
    void set(GaugeMetric metric, std::string_view label, double value);
    void observe(HistogramMetric metric, std::string_view label, double durationSeconds);

    /// All metrics in the Prometheus text format.
    std::string serialize() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/// The registry of this process.
MetricsRegistry &metricsRegistry();

}

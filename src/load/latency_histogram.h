#pragma once

#include "core/clock.h"

#include <memory>

namespace carawaypoint
{

/// Histogram of latencies from 0.1 ms to 1000 s with a relative error of 2%.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    void add(Duration latency);
    void merge(const LatencyHistogram &other);
    std::uint64_t count() const;
    /// Returns the latency that the given fraction (0 to 1) of the values does not exceed; 0 when there are no values.
    Duration quantile(double fraction) const;

private:
    struct Bins;
    std::unique_ptr<Bins> bins_;
};

}

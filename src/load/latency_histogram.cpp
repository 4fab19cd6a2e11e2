#include "load/latency_histogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>

namespace carawaypoint
{

namespace
{

namespace histogram = boost::histogram;
using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr double ShortestMs = 0.1;
constexpr double LongestMs = 1'000'000;
constexpr unsigned BinCount = 814; // 2% wide each

}

struct LatencyHistogram::Bins {
    decltype(histogram::make_histogram(LogAxis{})) values = histogram::make_histogram(LogAxis{BinCount, ShortestMs, LongestMs});
    std::uint64_t count = 0;
};

LatencyHistogram::LatencyHistogram()
    : bins_(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::add(Duration latency)
{
    bins_->values(std::clamp(std::chrono::duration<double, std::milli>(latency).count(), ShortestMs, LongestMs * 0.999));
    ++bins_->count;
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    bins_->values += other.bins_->values;
    bins_->count += other.bins_->count;
}

std::uint64_t LatencyHistogram::count() const
{
    return bins_->count;
}

Duration LatencyHistogram::quantile(double fraction) const
{
    const double wanted = std::ceil(fraction * static_cast<double>(bins_->count));
    double seen = 0;
    for (auto &&bin : histogram::indexed(bins_->values)) {
        seen += static_cast<double>(*bin);
        if (seen >= wanted && wanted > 0) {
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(bin.bin(0).upper()));
        }
    }
    return Duration::zero();
}

}

#include "routing/work_predictor.h"

#include <boost/histogram.hpp>
#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <vector>

namespace carawaypoint
{

namespace
{
// A short request predicted as long waits behind long work, whereas a long one predicted as short is reclassified while it
// runs. So a group counts as long only when at least a quarter of its answers are long.
constexpr double PredictedQuantile = 0.75;
constexpr double MinSamples = 10; // with fewer, a wider group is used, and finally the declared limit
constexpr double DecaySampleCount = 1000; // at this number all counts are halved, so that recent lengths have more weight
constexpr double LongFactor = 4; // times the model's median output
constexpr double MinLongTokens = 128; // shorter answers end before they delay other requests noticeably
constexpr double InitialLongTokens = 1024; // threshold until the model has MinSamples
constexpr std::size_t MaxGroups = 4096; // limits memory; about 400 bytes each
constexpr unsigned Bins = 24; // two per doubling over 12 doublings
constexpr double MaxTokens = 65536;
}

/// Distribution of output lengths on a logarithmic axis.
class WorkPredictor::LengthHistogram
{
public:
    void add(double tokens)
    {
        histogram_(std::max(1.0, tokens));
        sampleCount_ += 1;
        if (sampleCount_ >= DecaySampleCount) {
            histogram_ *= 0.5;
            sampleCount_ *= 0.5;
        }
    }

    double sampleCount() const
    {
        return sampleCount_;
    }

    /// Upper edge of the bin that holds the quantile @p q.
    double quantile(double q) const
    {
        double below = 0;
        for (const auto &bin : boost::histogram::indexed(histogram_)) {
            below += *bin;
            if (below >= q * sampleCount_) {
                return bin.bin().upper();
            }
        }
        return MaxTokens;
    }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<double>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> histogram_{boost::histogram::make_histogram_with(Storage(), Axis(Bins, 1, MaxTokens))};
    double sampleCount_ = 0;
};

WorkPredictor::WorkPredictor() = default;
WorkPredictor::~WorkPredictor() = default;

WorkPrediction WorkPredictor::predict(const ModelRequest &request) const
{
    WorkPrediction prediction;
    prediction.outputTokens = request.maxTokens > 0 ? request.maxTokens : MaxTokens;
    if (const LengthHistogram *lengths = narrowestGroup(request)) {
        prediction.outputTokens = std::min(prediction.outputTokens, lengths->quantile(PredictedQuantile));
    }
    prediction.isLong = prediction.outputTokens >= longThreshold(request.model);
    return prediction;
}

void WorkPredictor::recordOutput(const ModelRequest &request, std::uint32_t tokens)
{
    for (const std::uint64_t key : groupKeys(request)) {
        histogramFor(key).add(tokens);
    }
    auto &model = lengthsByModel_[request.model];
    if (!model) {
        model = std::make_unique<LengthHistogram>();
    }
    model->add(tokens);
}

double WorkPredictor::longThreshold(const ModelId &model) const
{
    const auto found = lengthsByModel_.find(model);
    if (found == lengthsByModel_.end() || found->second->sampleCount() < MinSamples) {
        return InitialLongTokens;
    }
    return std::max(MinLongTokens, LongFactor * found->second->quantile(0.5));
}

std::array<std::uint64_t, 3> WorkPredictor::groupKeys(const ModelRequest &request)
{
    const std::uint64_t model = XXH3_64bits(request.model.str().data(), request.model.str().size());
    const std::uint64_t adapter = XXH3_64bits_withSeed(request.adapter.data(), request.adapter.size(), model);
    const auto magnitude = static_cast<std::uint64_t>(std::bit_width(request.maxTokens));
    const std::uint64_t limit = XXH3_64bits_withSeed(&magnitude, sizeof(magnitude), adapter);
    const std::uint64_t customer = XXH3_64bits_withSeed(request.customer.str().data(), request.customer.str().size(), limit);
    return {customer, limit, adapter};
}

const WorkPredictor::LengthHistogram *WorkPredictor::narrowestGroup(const ModelRequest &request) const
{
    for (const std::uint64_t key : groupKeys(request)) {
        const auto group = groups_.find(key);
        if (group != groups_.end() && group->second.lengths->sampleCount() >= MinSamples) {
            return group->second.lengths.get();
        }
    }
    return nullptr;
}

WorkPredictor::LengthHistogram &WorkPredictor::histogramFor(std::uint64_t key)
{
    if (groups_.size() >= MaxGroups && !groups_.contains(key)) {
        evictOldGroups();
    }
    Group &group = groups_[key];
    group.lastUse = ++useCount_;
    if (!group.lengths) {
        group.lengths = std::make_unique<LengthHistogram>();
    }
    return *group.lengths;
}

void WorkPredictor::evictOldGroups()
{
    std::vector<std::uint64_t> uses;
    uses.reserve(groups_.size());
    for (const auto &[key, group] : groups_) {
        uses.push_back(group.lastUse);
    }
    const auto middle = uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
    std::nth_element(uses.begin(), middle, uses.end());
    std::erase_if(groups_, [&](const auto &item) { return item.second.lastUse < *middle; });
}

}

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
// A short request taken for a long one waits behind long work; a long one taken for short is reclassified while it runs.
// So a group counts as long only when at least a quarter of its answers are.
constexpr double PredictedQuantile = 0.75;
constexpr double MinSamples = 10; // below this a wider group is used, and at last the declared limit
constexpr double DecayAt = 1000; // samples after which all counts are halved, so that old lengths are forgotten
constexpr double LongFactor = 4; // times the model's median output
constexpr double MinLongTokens = 128; // shorter answers end before they block anybody for a noticeable time
constexpr double InitialLongTokens = 1024; // until the model has MinSamples
constexpr std::size_t MaxGroups = 4096; // about 400 bytes each
constexpr unsigned Bins = 24; // two per doubling over 12 doublings
constexpr double MaxTokens = 65536;
}

/// Distribution of output lengths on a logarithmic axis.
class WorkPredictor::Lengths
{
public:
    void add(double tokens)
    {
        histogram_(std::max(1.0, tokens));
        total_ += 1;
        if (total_ >= DecayAt) {
            histogram_ *= 0.5;
            total_ *= 0.5;
        }
    }

    double total() const
    {
        return total_;
    }

    /// Upper edge of the bin that holds the quantile @p q.
    double quantile(double q) const
    {
        double below = 0;
        for (const auto &bin : boost::histogram::indexed(histogram_)) {
            below += *bin;
            if (below >= q * total_) {
                return bin.bin().upper();
            }
        }
        return MaxTokens;
    }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<double>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> histogram_{boost::histogram::make_histogram_with(Storage(), Axis(Bins, 1, MaxTokens))};
    double total_ = 0;
};

WorkPredictor::WorkPredictor() = default;
WorkPredictor::~WorkPredictor() = default;

WorkPrediction WorkPredictor::predict(const ModelRequest &request) const
{
    WorkPrediction prediction;
    prediction.outputTokens = request.maxTokens > 0 ? request.maxTokens : MaxTokens;
    if (const Lengths *lengths = narrowest(request)) {
        prediction.outputTokens = std::min(prediction.outputTokens, lengths->quantile(PredictedQuantile));
    }
    prediction.isLong = prediction.outputTokens >= longThreshold(request.model);
    return prediction;
}

void WorkPredictor::observe(const ModelRequest &request, std::uint32_t tokens)
{
    for (const std::uint64_t key : groupKeys(request)) {
        lengthsOf(key).add(tokens);
    }
    auto &model = models_[request.model];
    if (!model) {
        model = std::make_unique<Lengths>();
    }
    model->add(tokens);
}

double WorkPredictor::longThreshold(const ModelId &model) const
{
    const auto found = models_.find(model);
    if (found == models_.end() || found->second->total() < MinSamples) {
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

const WorkPredictor::Lengths *WorkPredictor::narrowest(const ModelRequest &request) const
{
    for (const std::uint64_t key : groupKeys(request)) {
        const auto group = groups_.find(key);
        if (group != groups_.end() && group->second.lengths->total() >= MinSamples) {
            return group->second.lengths.get();
        }
    }
    return nullptr;
}

WorkPredictor::Lengths &WorkPredictor::lengthsOf(std::uint64_t key)
{
    if (groups_.size() >= MaxGroups && !groups_.contains(key)) {
        dropOldGroups();
    }
    Group &group = groups_[key];
    group.lastUse = ++uses_;
    if (!group.lengths) {
        group.lengths = std::make_unique<Lengths>();
    }
    return *group.lengths;
}

void WorkPredictor::dropOldGroups()
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

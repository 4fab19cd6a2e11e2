#pragma once

#include "routing/dispatcher.h"

#include <array>
#include <memory>
#include <unordered_map>

namespace carawaypoint
{

/// Expected output length of a request.
struct WorkPrediction {
    double outputTokens = 0; // a high quantile, at most the declared limit
    bool isLong = false;
};

/// Predicts output lengths from the declared limit and from the lengths of earlier answers to requests with the same
/// customer, model, adapter and order of magnitude of the declared limit. With too few such answers it uses those to all
/// customers, then all those of the adapter. Whether a request counts as long depends on the median output of its model.
class WorkPredictor
{
public:
    WorkPredictor();
    ~WorkPredictor();

    WorkPrediction predict(const ModelRequest &request) const;
    /// Records that a request ended after @p tokens output tokens.
    void recordOutput(const ModelRequest &request, std::uint32_t tokens);
    /// Output tokens from which a request of @p model counts as long work.
    double longThreshold(const ModelId &model) const;
    /// Number of request groups with statistics, for the memory limit.
    std::size_t groupCount() const
    {
        return groups_.size();
    }

private:
    class LengthHistogram;
    struct Group {
        std::unique_ptr<LengthHistogram> lengths;
        std::uint64_t lastUse = 0; // value of useCount_ at the last use
    };

    /// Keys of the groups that @p request belongs to, from the narrowest to the widest.
    static std::array<std::uint64_t, 3> groupKeys(const ModelRequest &request);
    /// Lengths in the narrowest group with enough samples; null when no group has enough.
    const LengthHistogram *narrowestGroup(const ModelRequest &request) const;
    /// Histogram of a group, which is created if necessary.
    LengthHistogram &histogramFor(std::uint64_t key);
    /// Removes the half of the groups that were not used for the longest time.
    void evictOldGroups();

    std::unordered_map<std::uint64_t, Group> groups_;
    std::unordered_map<ModelId, std::unique_ptr<LengthHistogram>> lengthsByModel_;
    std::uint64_t useCount_ = 0;
};

}

#pragma once

#include "routing/dispatcher.h"

#include <array>
#include <memory>
#include <unordered_map>

namespace carawaypoint
{

/// Expected cost of a request.
struct WorkPrediction {
    double outputTokens = 0; // a high quantile, bounded by the declared limit
    bool isLong = false;
};

/// Predicts output lengths from the declared limit and from the lengths of earlier answers to requests of the same
/// customer, model, adapter and order of magnitude of the declared limit. While there are too few of them, answers to all
/// customers are used, then those of the adapter. Requests are long relative to their model.
class WorkPredictor
{
public:
    WorkPredictor();
    ~WorkPredictor();

    WorkPrediction predict(const ModelRequest &request) const;
    /// A request ended after @p tokens of output.
    void observe(const ModelRequest &request, std::uint32_t tokens);
    /// Output tokens from which a request of @p model counts as long work.
    double longThreshold(const ModelId &model) const;
    /// Groups of requests with statistics, for the memory bound.
    std::size_t groups() const
    {
        return groups_.size();
    }

private:
    class Lengths;
    struct Group {
        std::unique_ptr<Lengths> lengths;
        std::uint64_t lastUse = 0;
    };

    /// From the narrowest group to the widest.
    static std::array<std::uint64_t, 3> groupKeys(const ModelRequest &request);
    const Lengths *narrowest(const ModelRequest &request) const;
    Lengths &lengthsOf(std::uint64_t key);
    void dropOldGroups();

    std::unordered_map<std::uint64_t, Group> groups_;
    std::unordered_map<ModelId, std::unique_ptr<Lengths>> models_;
    std::uint64_t uses_ = 0;
};

}

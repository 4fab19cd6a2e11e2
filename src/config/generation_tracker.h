#pragma once

#include "config/config_documents.h"

#include <cstdint>

namespace carawaypoint
{

/// The configuration generation of one daemon; generations never go back.
class GenerationTracker
{
public:
    enum class Verdict : std::uint8_t {
        Newer, // taken: put it in force
        Known, // the same generation with the same texts
        Older, // from a source that lags, or from a platform restored from an old copy
        Contradiction, // the same generation with other texts: keep the present one and report it
    };

    /// Offers a generation from the platform or a peer. Generation 0 is never taken.
    Verdict offer(std::uint64_t generation, const ConfigDocuments &documents)
    {
        if (generation > generation_) {
            generation_ = generation;
            documents_ = documents;
            return Verdict::Newer;
        }
        if (generation < generation_ || generation == 0) {
            return Verdict::Older;
        }
        return documents_.hasSameTexts(documents) ? Verdict::Known : Verdict::Contradiction;
    }

    /// Whether the platform must be given the present configuration again, because it offered @p platformGeneration.
    bool mustWriteBack(std::uint64_t platformGeneration) const
    {
        return platformGeneration < generation_;
    }

    bool hasConfig() const
    {
        return generation_ != 0;
    }
    std::uint64_t generation() const
    {
        return generation_;
    }
    const ConfigDocuments &documents() const
    {
        return documents_;
    }

private:
    std::uint64_t generation_ = 0;
    ConfigDocuments documents_;
};

}

#pragma once

#include "core/routing_snapshot.h"
#include "experiments/event_loop.h"
#include "routing/dispatcher.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace carawaypoint::experiments
{

/// Speed and limits of an engine. A step of the batch takes stepBase + stepPerSequence x batch + prefill time.
struct EngineSettings {
    std::uint32_t slots = 8;
    Duration stepBase = milliseconds(30);
    Duration stepPerSequence = microseconds(500);
    Duration prefillPerToken = microseconds(250);
    std::uint32_t prefillChunk = 256; // prompt tokens that one step processes at most
    std::uint64_t cacheTokens = 60000; // memory for cached prefixes
};

/// A request as the engine gets it.
struct EngineRequest {
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t priority = 0;
    bool isLong = false;
    std::vector<std::uint64_t> prefixes; // shortest first
    std::vector<std::uint32_t> prefixTokens; // length of each prefix
    std::function<void(std::uint32_t tokens)> onToken; // number of tokens so far
    std::function<void()> onDone;
};

/// Continuous batching: each step admits waiting requests by priority into free slots, processes a chunk of prompts and
/// generates one token for each request whose prompt is done.
class FakeEngine
{
public:
    FakeEngine(EventLoop &loop, const EngineSettings &settings);

    /// False when the engine refuses the request because too many wait.
    bool submit(EngineRequest request);
    /// Makes every step @p factor times longer.
    void setSlowdown(double factor)
    {
        slowdown_ = factor;
    }
    EngineLoad load() const;
    /// Events since the last call.
    std::vector<CacheUpdate::Change> takeCacheEvents();
    std::vector<std::uint64_t> cachedPrefixes() const;
    std::uint64_t lastCacheSequence() const
    {
        return cacheSequence_;
    }
    std::uint64_t promptTokens() const
    {
        return promptTokens_;
    }
    std::uint64_t reusedTokens() const
    {
        return reusedTokens_;
    }
    std::uint64_t generatedTokens() const
    {
        return generatedTokens_;
    }

private:
    struct Sequence {
        EngineRequest request;
        std::uint32_t prefillLeft = 0;
        std::uint32_t tokens = 0;
    };
    struct CacheEntry {
        std::uint64_t prefix = 0;
        std::uint32_t tokens = 0; // beyond the next shorter prefix
    };

    void step();
    void finishStep();
    void admitWaiting();
    std::uint32_t prefill();
    std::uint32_t takeFromCache(const EngineRequest &request);
    void cache(const EngineRequest &request);
    void evictOverflow();

    EventLoop &loop_;
    EngineSettings settings_;
    double slowdown_ = 1;
    bool isStepping_ = false;
    std::multimap<std::uint32_t, EngineRequest> waiting_; // by priority, then arrival
    std::vector<std::unique_ptr<Sequence>> running_;
    std::list<CacheEntry> cache_; // most recently used first
    std::unordered_map<std::uint64_t, std::list<CacheEntry>::iterator> cacheIndex_;
    std::uint64_t cachedTokens_ = 0;
    std::uint64_t cacheSequence_ = 0;
    std::vector<CacheUpdate::Change> cacheEvents_;
    std::uint64_t promptTokens_ = 0;
    std::uint64_t reusedTokens_ = 0;
    std::uint64_t generatedTokens_ = 0;
};

}

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

/// Speed and limits of an engine. A step takes stepBase + stepPerSequence x running requests + prefillPerToken x prompt tokens
/// processed in the step.
struct EngineSettings {
    std::uint32_t slots = 8; // running requests, and as many waiting ones
    Duration stepBase = milliseconds(30);
    Duration stepPerSequence = microseconds(500);
    Duration prefillPerToken = microseconds(250);
    std::uint32_t prefillChunk = 256; // largest number of prompt tokens that one step processes
    std::uint64_t cacheTokens = 60000; // size of the prefix cache in tokens
};

/// A request to a FakeEngine.
struct EngineRequest {
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t priority = 0;
    bool isLong = false;
    std::vector<std::uint64_t> prefixes; // hashes, shortest prefix first
    std::vector<std::uint32_t> prefixTokens; // length of each prefix in tokens
    std::function<void(std::uint32_t tokens)> onToken; // called with the number of tokens generated so far
    std::function<void()> onDone;
};

/// Simulates an engine with continuous batching on a virtual clock. Each step admits waiting requests by priority into free
/// slots, processes a chunk of prompt tokens and generates one token for each request whose prompt is processed.
class FakeEngine
{
public:
    FakeEngine(EventLoop &loop, const EngineSettings &settings);

    /// Queues the request; false when the engine refuses it because too many are waiting.
    bool submit(EngineRequest request);
    /// Multiplies the duration of every step by @p factor.
    void setSlowdown(double factor)
    {
        slowdown_ = factor;
    }
    EngineLoad load() const;
    /// Returns the changes of the prefix cache since the last call.
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
        std::uint32_t pendingPrefillTokens = 0;
        std::uint32_t tokens = 0; // generated
    };
    struct CacheEntry {
        std::uint64_t prefix = 0;
        std::uint32_t tokens = 0; // length beyond the next shorter prefix
    };

    void step();
    void finishStep();
    void admitWaiting();
    /// Processes a chunk of prompts and returns its number of tokens.
    std::uint32_t prefill();
    /// Returns the number of prompt tokens that the cache contains, and marks them as used.
    std::uint32_t reuseCachedPrefixes(const EngineRequest &request);
    void addToCache(const EngineRequest &request);
    void evictOverflow();

    EventLoop &loop_;
    EngineSettings settings_;
    double slowdown_ = 1;
    bool isStepping_ = false;
    std::multimap<std::uint32_t, EngineRequest> waiting_; // by priority, then by arrival
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

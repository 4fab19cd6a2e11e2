#include "experiments/fake_engine.h"

#include <algorithm>

namespace carawaypoint::experiments
{

FakeEngine::FakeEngine(EventLoop &loop, const EngineSettings &settings)
    : loop_(loop)
    , settings_(settings)
{
}

bool FakeEngine::submit(EngineRequest request)
{
    if (waiting_.size() >= settings_.slots) {
        return false;
    }
    const std::uint32_t priority = request.priority;
    waiting_.emplace(priority, std::move(request));
    if (!isStepping_) {
        step();
    }
    return true;
}

EngineLoad FakeEngine::load() const
{
    EngineLoad load;
    load.running = static_cast<std::uint32_t>(running_.size());
    load.queued = static_cast<std::uint32_t>(waiting_.size());
    load.runningLong =
        static_cast<std::uint32_t>(std::count_if(running_.begin(), running_.end(), [](const auto &sequence) { return sequence->request.isLong; }));
    load.reportedAt = loop_.now();
    return load;
}

std::vector<CacheUpdate::Change> FakeEngine::takeCacheEvents()
{
    return std::exchange(cacheEvents_, {});
}

std::vector<std::uint64_t> FakeEngine::cachedPrefixes() const
{
    std::vector<std::uint64_t> prefixes;
    for (const CacheEntry &entry : cache_) {
        prefixes.push_back(entry.prefix);
    }
    return prefixes;
}

void FakeEngine::step()
{
    admitWaiting();
    isStepping_ = !running_.empty();
    if (!isStepping_) {
        return;
    }
    const std::uint32_t prefilled = prefill();
    const Duration stepTime = settings_.stepBase + settings_.stepPerSequence * running_.size() + settings_.prefillPerToken * prefilled;
    loop_.scheduleAfter(std::chrono::duration_cast<Duration>(stepTime * slowdown_), [this] { finishStep(); });
}

void FakeEngine::finishStep()
{
    std::vector<std::unique_ptr<Sequence>> done;
    std::vector<std::pair<std::function<void(std::uint32_t)>, std::uint32_t>> progress;
    for (auto &sequence : running_) {
        if (sequence->pendingPrefillTokens > 0) {
            continue;
        }
        ++generatedTokens_;
        ++sequence->tokens;
        progress.emplace_back(sequence->request.onToken, sequence->tokens);
        if (sequence->tokens >= sequence->request.outputTokens) {
            addToCache(sequence->request);
            done.push_back(std::move(sequence));
        }
    }
    std::erase(running_, nullptr);
    for (const auto &[handler, tokens] : progress) {
        handler(tokens);
    }
    for (const auto &sequence : done) {
        sequence->request.onDone();
    }
    step();
}

void FakeEngine::admitWaiting()
{
    while (running_.size() < settings_.slots && !waiting_.empty()) {
        auto sequence = std::make_unique<Sequence>();
        sequence->request = std::move(waiting_.begin()->second);
        waiting_.erase(waiting_.begin());
        const std::uint32_t reused = reuseCachedPrefixes(sequence->request);
        promptTokens_ += sequence->request.promptTokens;
        reusedTokens_ += reused;
        sequence->pendingPrefillTokens = std::max(1U, sequence->request.promptTokens - std::min(reused, sequence->request.promptTokens));
        // Prompts are processed in the order of running_, so that is by priority, too.
        const auto after =
            std::find_if(running_.begin(), running_.end(), [&](const auto &other) { return other->request.priority > sequence->request.priority; });
        running_.insert(after, std::move(sequence));
    }
}

std::uint32_t FakeEngine::prefill()
{
    std::uint32_t remaining = settings_.prefillChunk;
    for (auto &sequence : running_) {
        const std::uint32_t part = std::min(remaining, sequence->pendingPrefillTokens);
        sequence->pendingPrefillTokens -= part;
        remaining -= part;
    }
    return settings_.prefillChunk - remaining;
}

std::uint32_t FakeEngine::reuseCachedPrefixes(const EngineRequest &request)
{
    std::uint32_t reused = 0;
    for (std::size_t i = 0; i < request.prefixes.size(); ++i) {
        const auto found = cacheIndex_.find(request.prefixes[i]);
        if (found == cacheIndex_.end()) {
            break;
        }
        cache_.splice(cache_.begin(), cache_, found->second);
        reused = request.prefixTokens[i];
    }
    return reused;
}

void FakeEngine::addToCache(const EngineRequest &request)
{
    std::uint32_t shorterTokens = 0;
    for (std::size_t i = 0; i < request.prefixes.size(); ++i) {
        const std::uint32_t tokens = request.prefixTokens[i] - shorterTokens;
        shorterTokens = request.prefixTokens[i];
        const auto found = cacheIndex_.find(request.prefixes[i]);
        if (found != cacheIndex_.end()) {
            cache_.splice(cache_.begin(), cache_, found->second);
            continue;
        }
        cache_.push_front({request.prefixes[i], tokens});
        cacheIndex_[request.prefixes[i]] = cache_.begin();
        cachedTokens_ += tokens;
        cacheEvents_.push_back({++cacheSequence_, request.prefixes[i], false});
    }
    evictOverflow();
}

void FakeEngine::evictOverflow()
{
    while (cachedTokens_ > settings_.cacheTokens && !cache_.empty()) {
        const CacheEntry entry = cache_.back();
        cache_.pop_back();
        cacheIndex_.erase(entry.prefix);
        cachedTokens_ -= entry.tokens;
        cacheEvents_.push_back({++cacheSequence_, entry.prefix, true});
    }
}

}

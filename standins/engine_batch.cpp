#include "standins/engine_batch.h"

#include <algorithm>

namespace carawaypoint::standins
{

namespace
{

constexpr std::uint32_t PrefillTokensPerStep = 512;

}

void EngineBatch::add(const std::shared_ptr<BatchRequest> &request)
{
    waiting_.emplace(request->priority, request);
}

void EngineBatch::fillSlots()
{
    while (running_.size() < slots_ && !waiting_.empty()) {
        running_.push_back(waiting_.begin()->second);
        waiting_.erase(waiting_.begin());
    }
}

void EngineBatch::step()
{
    fillSlots();
    for (const auto &request : running_) {
        if (request->pendingPrefillTokens > 0) {
            request->pendingPrefillTokens -= std::min(request->pendingPrefillTokens, PrefillTokensPerStep);
            continue;
        }
        if (request->nextToken < request->answer.length()) {
            request->unsentTokens.push_back(request->nextToken++);
        }
        request->isFinished = request->nextToken >= request->answer.length();
    }
    running_.remove_if([](const auto &request) { return request->isFinished || request->isAborted; });
}

bool EngineBatch::cancel(const std::string &attempt)
{
    for (const auto &request : running_) {
        if (request->attempt == attempt) {
            request->isAborted = true;
            running_.remove(request);
            return true;
        }
    }
    const auto waiting = std::find_if(waiting_.begin(), waiting_.end(), [&attempt](const auto &entry) { return entry.second->attempt == attempt; });
    if (waiting == waiting_.end()) {
        return false;
    }
    waiting->second->isAborted = true;
    waiting_.erase(waiting);
    return true;
}

void EngineBatch::abortAll()
{
    for (const auto &request : running_) {
        request->isAborted = true;
    }
    for (const auto &[priority, request] : waiting_) {
        request->isAborted = true;
    }
    running_.clear();
    waiting_.clear();
}

std::uint32_t EngineBatch::runningLong() const
{
    return static_cast<std::uint32_t>(std::count_if(running_.begin(), running_.end(), [](const auto &request) { return request->isLongWork; }));
}

}

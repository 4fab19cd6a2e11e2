#include "standins/engine_batch.h"

#include <algorithm>

namespace carawaypoint::standins
{

namespace
{

constexpr std::uint32_t PrefillTokensPerStep = 512;

}

void EngineBatch::add(const std::shared_ptr<Generation> &generation)
{
    waiting_.emplace(generation->priority, generation);
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
    for (const auto &generation : running_) {
        if (generation->unprefilledTokens > 0) {
            generation->unprefilledTokens -= std::min(generation->unprefilledTokens, PrefillTokensPerStep);
            continue;
        }
        if (generation->nextToken < generation->answer.length()) {
            generation->ready.push_back(generation->nextToken++);
        }
        generation->isFinished = generation->nextToken >= generation->answer.length();
    }
    running_.remove_if([](const auto &generation) { return generation->isFinished || generation->isAborted; });
}

bool EngineBatch::cancel(const std::string &attempt)
{
    for (const auto &generation : running_) {
        if (generation->attempt == attempt) {
            generation->isAborted = true;
            running_.remove(generation);
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
    for (const auto &generation : running_) {
        generation->isAborted = true;
    }
    for (const auto &[priority, generation] : waiting_) {
        generation->isAborted = true;
    }
    running_.clear();
    waiting_.clear();
}

std::uint32_t EngineBatch::runningLong() const
{
    return static_cast<std::uint32_t>(std::count_if(running_.begin(), running_.end(), [](const auto &generation) { return generation->isLongWork; }));
}

}

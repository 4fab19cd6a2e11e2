#pragma once

#include "load/reference_answer.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawaypoint::standins
{

/// A request in the batch of an engine.
struct BatchRequest {
    BatchRequest(std::string prompt, std::uint32_t maxTokens)
        : answer(prompt, maxTokens)
        , prompt(std::move(prompt))
    {
    }

    ReferenceAnswer answer;
    std::string prompt;
    std::string attempt; // X-Attempt-Id
    std::string replica; // name and incarnation, as in X-Replica
    unsigned priority = 0;
    bool isLongWork = false;
    std::uint32_t nextToken = 0;
    std::uint32_t pendingPrefillTokens = 0; // prompt tokens to process before the first token
    std::deque<std::uint32_t> unsentTokens; // indexes of generated tokens that were not sent yet
    bool isFinished = false;
    bool isAborted = false; // the replica failed or the request was cancelled
};

/// Continuous batching of one replica: waiting requests enter free slots by priority and arrival, and each step generates one
/// token for every running request whose prompt is processed.
class EngineBatch
{
public:
    explicit EngineBatch(std::uint32_t slots)
        : slots_(slots)
    {
    }

    void add(const std::shared_ptr<BatchRequest> &request);
    /// Runs one step of the batch.
    void step();
    /// Removes the request with the attempt id; false when there is none.
    bool cancel(const std::string &attempt);
    /// Aborts every request, as the loss of the replica does.
    void abortAll();

    std::uint32_t slots() const
    {
        return slots_;
    }
    std::uint32_t running() const
    {
        return static_cast<std::uint32_t>(running_.size());
    }
    std::uint32_t queued() const
    {
        return static_cast<std::uint32_t>(waiting_.size());
    }
    std::uint32_t runningLong() const;
    bool isIdle() const
    {
        return running_.empty() && waiting_.empty();
    }

private:
    void fillSlots();

    std::uint32_t slots_;
    std::multimap<unsigned, std::shared_ptr<BatchRequest>> waiting_; // by priority, in order of arrival
    std::list<std::shared_ptr<BatchRequest>> running_;
};

}

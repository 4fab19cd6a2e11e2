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

/// One request in an engine.
struct Generation {
    Generation(std::string prompt, std::uint32_t maxTokens)
        : answer(prompt, maxTokens)
        , prompt(std::move(prompt))
    {
    }

    ReferenceAnswer answer;
    std::string prompt;
    std::string attempt;
    std::string replica; // with its incarnation
    unsigned priority = 0;
    bool isLongWork = false;
    std::uint32_t nextToken = 0;
    std::uint32_t unprefilledTokens = 0; // of the prompt; processed before the first token
    std::deque<std::uint32_t> ready; // token numbers that were generated and not yet sent
    bool isFinished = false;
    bool isAborted = false; // the replica failed or the attempt was cancelled
};

/// Continuous batching of one leader: waiting requests enter free slots by priority and arrival, and each step gives every
/// running request its next token.
class EngineBatch
{
public:
    explicit EngineBatch(std::uint32_t slots)
        : slots_(slots)
    {
    }

    void add(const std::shared_ptr<Generation> &generation);
    /// One step of the whole batch.
    void step();
    bool cancel(const std::string &attempt);
    /// Ends every request as the loss of the replica does.
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
    std::multimap<unsigned, std::shared_ptr<Generation>> waiting_; // by priority, in order of arrival
    std::list<std::shared_ptr<Generation>> running_;
};

}

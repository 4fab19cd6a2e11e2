#pragma once

#include "core/clock.h"
#include "load/latency_histogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace carawaypoint
{

/// Outcome of one request of the load generator.
struct LoadResult {
    std::string customer;
    std::string resultCode; // name in the X-Result-Code header; "connection" when there was no answer
    std::string runState;
    bool isLong = false; // a long request of the workload
    bool isComplete = false; // every token of the expected answer arrived in order, followed by the end marker
    bool hasWrongContent = false; // a token differs from the expected answer
    std::uint32_t tokens = 0; // received
    /// Counted from the planned time instead of the time of sending, so that a slow system cannot hide its delay by slowing the
    /// load generator down.
    Duration firstTokenLatency{};
    Duration longestGap{}; // between two tokens
    Duration totalLatency{}; // from the planned time to the end of the answer
};

/// Accumulates the results of a load run and formats them.
class LoadReport
{
public:
    void add(const LoadResult &result);

    /// Formats the results as a table.
    std::string table() const;
    /// Formats the results as a JSON object.
    std::string json() const;

    /// Number of complete and correct answers.
    std::uint64_t whole() const
    {
        return completeAnswers_;
    }
    /// Number of answers with a wrong token.
    std::uint64_t wrong() const
    {
        return wrongAnswers_;
    }
    /// Number of requests.
    std::uint64_t count() const
    {
        return count_;
    }

private:
    struct Group {
        LatencyHistogram firstTokenLatency;
        LatencyHistogram totalLatency;
        std::uint64_t count = 0;
        std::uint64_t completeAnswers = 0;
    };

    std::uint64_t count_ = 0;
    std::uint64_t completeAnswers_ = 0;
    std::uint64_t wrongAnswers_ = 0;
    std::uint64_t tokenCount_ = 0;
    std::map<std::string, Group> groups_; // "short", "long" and one for each customer
    std::map<std::string, std::uint64_t> resultCounts_; // number of requests by "<result code> <run state>"
    LatencyHistogram longestGaps_; // longest gap between tokens of each request
};

}

#pragma once

#include "core/clock.h"
#include "load/latency_histogram.h"

#include <cstdint>
#include <map>
#include <string>

namespace carawaypoint
{

/// How one request of the load generator ended.
struct LoadResult {
    std::string customer;
    std::string resultCode; // name of the X-Result-Code header, "ok", or "connection" when there was no answer
    std::string runState;
    bool isLong = false;
    bool isWhole = false; // every token of the expected answer arrived, in order, and the end was marked
    bool hasWrongContent = false; // text that is not the expected answer was received
    std::uint32_t tokens = 0;
    Duration firstToken{}; // since the planned time, so that a slow system cannot delay its own load
    Duration longestGap{}; // between tokens
    Duration total{};
};

/// Sums results and prints them.
class LoadReport
{
public:
    void add(const LoadResult &result);

    /// A table for people.
    std::string table() const;
    /// The same as a JSON object.
    std::string json() const;

    std::uint64_t whole() const
    {
        return whole_;
    }
    std::uint64_t wrong() const
    {
        return wrong_;
    }
    std::uint64_t count() const
    {
        return count_;
    }

private:
    struct Group {
        LatencyHistogram firstToken;
        LatencyHistogram total;
        std::uint64_t count = 0;
        std::uint64_t whole = 0;
    };

    std::uint64_t count_ = 0;
    std::uint64_t whole_ = 0;
    std::uint64_t wrong_ = 0;
    std::uint64_t tokens_ = 0;
    std::map<std::string, Group> groups_; // "short", "long" and one for each customer
    std::map<std::string, std::uint64_t> codes_;
    LatencyHistogram gaps_;
};

}

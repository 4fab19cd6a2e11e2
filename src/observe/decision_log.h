#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// A routing or placement decision as `carawaypoint explain` shows it.
struct DecisionRecord {
    std::uint64_t sequence = 0; // order of the decisions of this process
    std::chrono::system_clock::time_point at{};
    std::string kind{};
    std::string subject{}; // the request, replica or VM that the decision is about
    std::string choice{};
    std::string reason{};
    std::string fieldsJson{}; // a JSON object
};

/// The latest decisions of this process in memory, thread-safe.
///
/// Each kind has a ring of its own, so that frequent routing decisions do not displace rare placement decisions.
class DecisionLog
{
public:
    /// Records per kind and kinds that are kept. With the bound on a text this limits the ring to a few megabytes.
    static constexpr std::size_t DefaultCapacity = 2048;
    static constexpr std::size_t MaxKinds = 16;
    static constexpr std::size_t MaxTextBytes = 1024;

    explicit DecisionLog(std::size_t capacityPerKind = DefaultCapacity);

    /// Keeps @p record; longer texts are cut at MaxTextBytes, longer fields are replaced by `{"cut":true}`.
    void add(DecisionRecord record);

    /// The latest decisions about @p subject, oldest first.
    std::vector<DecisionRecord> find(std::string_view subject, std::size_t limit = 100) const;

private:
    struct Ring {
        std::vector<DecisionRecord> records;
        std::size_t next = 0;
    };

    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, Ring, std::less<>> rings_;
};

/// The decisions that logDecision() keeps.
DecisionLog &decisionLog();

}

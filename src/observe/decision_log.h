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

/// A routing or placement decision, as shown by `carawaypoint explain`.
struct DecisionRecord {
    std::uint64_t sequence = 0; // number of the decision in this process
    std::chrono::system_clock::time_point at{};
    std::string kind{};
    std::string subject{}; // the request, replica or VM that the decision is about
    std::string choice{};
    std::string reason{};
    std::string fieldsJson{}; // a JSON object
};

/// The latest decisions of this process, in memory. Thread-safe.
///
/// Each kind has its own ring buffer, so that frequent routing decisions do not displace rare placement decisions.
class DecisionLog
{
public:
    /// Limits of records per kind, of kinds and of bytes per text. They limit the size of a ring buffer to a few megabytes.
    static constexpr std::size_t DefaultCapacity = 2048;
    static constexpr std::size_t MaxKinds = 16;
    static constexpr std::size_t MaxTextBytes = 1024;

    explicit DecisionLog(std::size_t capacityPerKind = DefaultCapacity);

    /// Stores @p record. Texts are truncated to MaxTextBytes; fieldsJson that is longer is replaced by `{"cut":true}`.
    void add(DecisionRecord record);

    /// The latest decisions about @p subject, oldest first.
    std::vector<DecisionRecord> find(std::string_view subject, std::size_t limit = 100) const;

private:
    struct Ring {
        std::vector<DecisionRecord> records;
        std::size_t next = 0; // index of the oldest record once the buffer is full
    };

    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::uint64_t sequence_ = 0;
    std::map<std::string, Ring, std::less<>> rings_;
};

/// The log that logDecision() writes to.
DecisionLog &decisionLog();

}

#pragma once

#include "core/ids.h"

#include <atomic>
#include <cstddef>
#include <deque>
#include <memory>
#include <thread>
#include <vector>

namespace carawaypoint
{

/// Chooses entries as the platform's balancer does: in turn, without those whose /readyz does not answer 200.
class EntryHealth
{
public:
    explicit EntryHealth(std::vector<Endpoint> entries);
    ~EntryHealth();
    EntryHealth(const EntryHealth &) = delete;
    EntryHealth &operator=(const EntryHealth &) = delete;

    /// The entry for the @p number-th request; an entry that is not ready when none is. Thread-safe.
    const Endpoint &choose(std::size_t number) const;

private:
    struct Entry {
        Endpoint endpoint;
        std::atomic<bool> isReady = true;
    };

    void run();

    std::deque<Entry> entries_;
    std::atomic<bool> isStopping_ = false;
    std::thread thread_;
};

}

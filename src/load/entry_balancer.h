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

/// Distributes requests over entry daemons as the platform's balancer does: in turn, without those whose /readyz does not answer
/// 200. Polls /readyz on a separate thread.
class EntryBalancer
{
public:
    explicit EntryBalancer(std::vector<Endpoint> entries);
    ~EntryBalancer();
    EntryBalancer(const EntryBalancer &) = delete;
    EntryBalancer &operator=(const EntryBalancer &) = delete;

    /// Returns the entry for the request with the index @p number. When no entry is ready, returns one that is not. Thread-safe.
    const Endpoint &chooseEntry(std::size_t number) const;

private:
    struct Entry {
        Endpoint endpoint;
        std::atomic<bool> isReady = true;
    };

    void pollReadiness();

    std::deque<Entry> entries_;
    std::atomic<bool> isStopping_ = false;
    std::thread thread_;
};

}

#pragma once

#include "routing/admission_queue.h"

#include <array>
#include <list>
#include <unordered_map>

namespace carawaypoint
{

/// Serves customers within their share before others, then short work before long, then the lowest used share first. Long
/// work that has waited for a fixed time is treated as short.
class ShortFirstQueue : public AdmissionQueue
{
public:
    void push(const QueueItem &item) override;
    bool remove(std::uint64_t ticket) override;
    const QueueItem *next(TimePoint now, const ShareUsage &shares, std::span<const std::uint64_t> blockedTickets, bool isLongBlocked) const override;
    bool canSkipBlockedRequests() const override;
    std::vector<std::uint64_t> expiredTickets(TimePoint now) const override;
    std::vector<QueueItem> items() const override;
    std::size_t size() const override;
    std::size_t requestsAhead(const CustomerId &customer, bool isLong) const override;

private:
    using Items = std::list<QueueItem>;
    struct CustomerItems {
        std::array<Items, 2> items; // [0] short, [1] long
    };
    struct Position {
        CustomerItems *customer = nullptr;
        Items::iterator item;
    };

    std::unordered_map<CustomerId, CustomerItems> customers_;
    std::unordered_map<std::uint64_t, Position> positions_; // by ticket
};

}

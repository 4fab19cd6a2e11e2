#pragma once

#include "routing/admission_queue.h"

#include <array>
#include <list>
#include <unordered_map>

namespace carawaypoint
{

/// Serves customers within their share before others, short work before long, and the lowest used share first. Long work
/// that waited for a while competes as if it were short.
class ShortFirstQueue : public AdmissionQueue
{
public:
    void push(const QueueItem &item) override;
    bool remove(std::uint64_t ticket) override;
    const QueueItem *next(TimePoint now, const ShareView &shares, std::span<const std::uint64_t> blocked, bool isLongBlocked) const override;
    bool mayPassOver() const override;
    std::vector<std::uint64_t> expired(TimePoint now) const override;
    std::vector<QueueItem> items() const override;
    std::size_t size() const override;
    std::size_t waiting(const CustomerId &customer, bool isLong) const override;

private:
    using Items = std::list<QueueItem>;
    struct Customer {
        std::array<Items, 2> items; // short, long
    };
    struct Position {
        Customer *customer = nullptr;
        Items::iterator item;
    };

    std::unordered_map<CustomerId, Customer> customers_;
    std::unordered_map<std::uint64_t, Position> positions_; // by ticket
};

}

#pragma once

#include "routing/admission_queue.h"

#include <list>
#include <unordered_map>

namespace carawaypoint
{

/// Baseline strategy: first in, first out over all customers and classes of work.
class FifoQueue : public AdmissionQueue
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
    std::list<QueueItem> items_;
    std::unordered_map<std::uint64_t, std::list<QueueItem>::iterator> positions_; // by ticket
};

}

#include "routing/fifo_queue.h"

#include <algorithm>

namespace carawaypoint
{

void FifoQueue::push(const QueueItem &item)
{
    positions_[item.ticket] = items_.insert(items_.end(), item);
}

bool FifoQueue::remove(std::uint64_t ticket)
{
    const auto position = positions_.find(ticket);
    if (position == positions_.end()) {
        return false;
    }
    items_.erase(position->second);
    positions_.erase(position);
    return true;
}

const QueueItem *FifoQueue::next(TimePoint, const ShareUsage &, std::span<const std::uint64_t> blockedTickets, bool) const
{
    for (const QueueItem &item : items_) {
        if (std::find(blockedTickets.begin(), blockedTickets.end(), item.ticket) == blockedTickets.end()) {
            return &item;
        }
    }
    return nullptr;
}

bool FifoQueue::canSkipBlockedRequests() const
{
    return false;
}

std::vector<std::uint64_t> FifoQueue::expiredTickets(TimePoint now) const
{
    std::vector<std::uint64_t> tickets;
    for (const QueueItem &item : items_) {
        if (item.deadline < now) {
            tickets.push_back(item.ticket);
        }
    }
    return tickets;
}

std::vector<QueueItem> FifoQueue::items() const
{
    return {items_.begin(), items_.end()};
}

std::size_t FifoQueue::size() const
{
    return items_.size();
}

std::size_t FifoQueue::requestsAhead(const CustomerId &, bool isLong) const
{
    return static_cast<std::size_t>(std::count_if(items_.begin(), items_.end(), [isLong](const QueueItem &item) { return item.isLong == isLong; }));
}

}

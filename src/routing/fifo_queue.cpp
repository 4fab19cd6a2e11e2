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

const QueueItem *FifoQueue::next(TimePoint, const ShareView &, std::span<const std::uint64_t>, bool) const
{
    return items_.empty() ? nullptr : &items_.front();
}

bool FifoQueue::mayPassOver() const
{
    return false;
}

std::vector<std::uint64_t> FifoQueue::expired(TimePoint now) const
{
    std::vector<std::uint64_t> tickets;
    for (const QueueItem &item : items_) {
        if (item.deadline < now) {
            tickets.push_back(item.ticket);
        }
    }
    return tickets;
}

std::size_t FifoQueue::size() const
{
    return items_.size();
}

std::size_t FifoQueue::waiting(const CustomerId &customer) const
{
    return static_cast<std::size_t>(std::count_if(items_.begin(), items_.end(), [&](const QueueItem &item) { return item.customer == customer; }));
}

}

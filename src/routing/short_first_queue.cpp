#include "routing/short_first_queue.h"

#include <algorithm>
#include <tuple>

namespace carawaypoint
{

namespace
{

// Long work that has waited this long is served like short work. In normal operation short work waits less than this.
constexpr Duration LongAgingDelay = seconds(1);

/// Serving order: priority band, used share, time of queueing. The lowest rank is served first.
using Rank = std::tuple<int, double, TimePoint>;

Rank rankOf(const QueueItem &item, double usedShare, TimePoint now)
{
    const bool countsAsLong = item.isLong && now - item.queuedAt < LongAgingDelay;
    const int priorityBand = (usedShare < 1 ? 0 : 2) + (countsAsLong ? 1 : 0);
    return {priorityBand, usedShare, item.queuedAt};
}

const QueueItem *firstNotBlocked(const std::list<QueueItem> &items, std::span<const std::uint64_t> blockedTickets)
{
    for (const QueueItem &item : items) {
        if (std::find(blockedTickets.begin(), blockedTickets.end(), item.ticket) == blockedTickets.end()) {
            return &item;
        }
    }
    return nullptr;
}

}

void ShortFirstQueue::push(const QueueItem &item)
{
    CustomerItems &customer = customers_[item.customer];
    Items &items = customer.items[item.isLong ? 1 : 0];
    positions_[item.ticket] = {&customer, items.insert(items.end(), item)};
}

bool ShortFirstQueue::remove(std::uint64_t ticket)
{
    const auto found = positions_.find(ticket);
    if (found == positions_.end()) {
        return false;
    }
    const auto [customer, item] = found->second;
    const CustomerId id = item->customer;
    customer->items[item->isLong ? 1 : 0].erase(item);
    positions_.erase(found);
    if (customer->items[0].empty() && customer->items[1].empty()) {
        customers_.erase(id);
    }
    return true;
}

const QueueItem *ShortFirstQueue::next(TimePoint now, const ShareUsage &shares, std::span<const std::uint64_t> blockedTickets, bool isLongBlocked) const
{
    const QueueItem *best = nullptr;
    Rank bestRank;
    for (const auto &[id, customer] : customers_) {
        for (const Items &items : customer.items) {
            const QueueItem *item = firstNotBlocked(items, blockedTickets);
            if (!item || (item->isLong && isLongBlocked)) {
                continue;
            }
            const Rank rank = rankOf(*item, shares.usedShare(id, item->isLong), now);
            if (!best || rank < bestRank) {
                best = item;
                bestRank = rank;
            }
        }
    }
    return best;
}

bool ShortFirstQueue::canSkipBlockedRequests() const
{
    return true;
}

std::vector<std::uint64_t> ShortFirstQueue::expiredTickets(TimePoint now) const
{
    std::vector<std::uint64_t> tickets;
    for (const auto &[id, customer] : customers_) {
        for (const Items &items : customer.items) {
            for (const QueueItem &item : items) {
                if (item.deadline < now) {
                    tickets.push_back(item.ticket);
                }
            }
        }
    }
    return tickets;
}

std::vector<QueueItem> ShortFirstQueue::items() const
{
    std::vector<QueueItem> all;
    for (const auto &[id, customer] : customers_) {
        for (const Items &items : customer.items) {
            all.insert(all.end(), items.begin(), items.end());
        }
    }
    return all;
}

std::size_t ShortFirstQueue::size() const
{
    return positions_.size();
}

std::size_t ShortFirstQueue::requestsAhead(const CustomerId &customer, bool isLong) const
{
    const auto found = customers_.find(customer);
    return found == customers_.end() ? 0 : found->second.items[isLong ? 1 : 0].size();
}

}

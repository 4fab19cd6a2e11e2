#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// A waiting request in a queue.
struct QueueItem {
    std::uint64_t ticket = 0;
    CustomerId customer;
    bool isLong = false;
    TimePoint queuedAt;
    TimePoint deadline;
};

/// Ratio of the slots that a customer's short or long requests hold to the customer's share; queues serve the lowest ratio
/// first. The classes are counted separately, because the slots of long work are limited and a customer's long work must
/// not delay its short work.
class ShareUsage
{
public:
    virtual ~ShareUsage() = default;
    virtual double usedShare(const CustomerId &customer, bool isLong) const = 0;
};

/// Strategy for the order in which the waiting requests of one model are served.
class AdmissionQueue
{
public:
    virtual ~AdmissionQueue() = default;

    virtual void push(const QueueItem &item) = 0;
    /// False when @p ticket is not waiting.
    virtual bool remove(std::uint64_t ticket) = 0;
    /// The request to serve next; null when there is none. Skips the tickets in @p blockedTickets and, with
    /// @p isLongBlocked, all long work: the caller passes there what found no replica since its scan of the queue started.
    virtual const QueueItem *next(TimePoint now, const ShareUsage &shares, std::span<const std::uint64_t> blockedTickets, bool isLongBlocked) const = 0;
    /// Whether other requests may be served while one finds no replica with a free slot. A queue that returns false does
    /// not limit the slots of long work, since a long request at the head would block all others.
    virtual bool canSkipBlockedRequests() const = 0;
    /// Tickets whose deadline is before @p now.
    virtual std::vector<std::uint64_t> expiredTickets(TimePoint now) const = 0;
    /// All waiting requests, oldest first within each customer and class.
    virtual std::vector<QueueItem> items() const = 0;
    virtual std::size_t size() const = 0;
    /// Waiting requests of the same class that are served before a new one of @p customer.
    virtual std::size_t requestsAhead(const CustomerId &customer, bool isLong) const = 0;
};

/// Creates the queue called @p name; null for an unknown name.
std::unique_ptr<AdmissionQueue> makeAdmissionQueue(std::string_view name);

/// Names that makeAdmissionQueue() accepts.
std::span<const std::string_view> admissionQueueNames();

}

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

/// A waiting request as the queue sees it.
struct QueueItem {
    std::uint64_t ticket = 0;
    CustomerId customer;
    bool isLong = false;
    TimePoint queuedAt;
    TimePoint deadline;
};

/// Slots that a customer's short or long work holds relative to its share; the queue serves the lowest ratio first. The
/// classes count apart, because the slots of long work are bounded and must not hold up the customer's short work.
class ShareView
{
public:
    virtual ~ShareView() = default;
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
    /// The item to serve next, skipping the tickets in @p blocked and, with @p isLongBlocked, all long work; null when none.
    /// When the item cannot be placed, @p blocked or @p isLongBlocked tell so in the next call.
    virtual const QueueItem *next(TimePoint now, const ShareView &shares, std::span<const std::uint64_t> blocked, bool isLongBlocked) const = 0;
    /// Whether other items may be served while one finds no replica with room. Without that there is no cap on long work,
    /// since a long item at the head would hold up everything.
    virtual bool mayPassOver() const = 0;
    /// Tickets whose deadline is before @p now.
    virtual std::vector<std::uint64_t> expired(TimePoint now) const = 0;
    /// All waiting requests, oldest first within each customer and class.
    virtual std::vector<QueueItem> items() const = 0;
    virtual std::size_t size() const = 0;
    /// Requests that a new one of @p customer with that length waits for within its class.
    virtual std::size_t waiting(const CustomerId &customer, bool isLong) const = 0;
};

/// Creates the queue of that name; null when there is none.
std::unique_ptr<AdmissionQueue> makeAdmissionQueue(std::string_view name);

/// The names that makeAdmissionQueue() knows.
std::span<const std::string_view> admissionQueueNames();

}

#pragma once

#include "core/moving_average.h"
#include "core/routing_snapshot.h"
#include "routing/admission_queue.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace carawaypoint
{

/// Tracks the slots that each customer uses and demands at this daemon, and computes its share of the capacity here.
class CustomerShareTracker : public ShareUsage
{
public:
    void addWaiting(const CustomerId &customer);
    void removeWaiting(const CustomerId &customer);
    void addInFlight(const CustomerId &customer, bool isLong);
    void removeInFlight(const CustomerId &customer, bool isLong);
    /// Counts as long a request in flight that was counted as short.
    void reclassifyAsLong(const CustomerId &customer);

    /// Recomputes the shares.
    /// @param capacity slots that all daemons of the zone share.
    void updateShares(const RoutingSnapshot &snapshot, double capacity);

    /// Slots in use by one class of work relative to the customer's guaranteed slots; below 1 the customer is within its share.
    double usedShare(const CustomerId &customer, bool isLong) const override;
    /// Slots that the customer gets at this daemon under the present demand of all customers.
    double expectedSlots(const CustomerId &customer) const;
    /// Slots guaranteed to the customer at this daemon, whatever the demand of the others.
    double guaranteedSlots(const CustomerId &customer) const;
    /// Waiting requests of customers that are within their share.
    double waitingWithinShare() const;
    /// Requests of all customers in flight from this daemon.
    double totalInFlight() const;
    /// This daemon's part of the demand of all daemons, and so of the free slots; 0 to 1.
    double freeSlotShare() const
    {
        return freeSlotShare_;
    }
    /// Slots in use plus waiting requests of the customer.
    double demand(const CustomerId &customer) const;

    /// Requests and slots of one customer at this daemon.
    struct CustomerSlots {
        std::array<std::uint32_t, 2> inFlight{}; // [0] short, [1] long
        std::uint32_t waiting = 0;
        double guaranteed = 1; // slots
        MovingAverage demandFraction{0.002}; // part of the customer's demand that is at this daemon; averaged over 5 s at an update every 10 ms
        double expected = 1; // slots under the present demand

        double demand() const
        {
            return inFlight[0] + inFlight[1] + waiting;
        }
    };
    const std::unordered_map<CustomerId, CustomerSlots> &slotsByCustomer() const
    {
        return slotsByCustomer_;
    }

private:
    const CustomerSlots *findSlots(const CustomerId &customer) const;
    void setGuaranteed(const RoutingSnapshot &snapshot, double capacity);
    void setExpected(const RoutingSnapshot &snapshot, double capacity);

    void setFreeSlotShare(const RoutingSnapshot &snapshot);

    std::unordered_map<CustomerId, CustomerSlots> slotsByCustomer_;
    // Peers' demand arrives late, so while demand rises every daemon computes too high a part for itself. Averaging limits that.
    MovingAverage meanDemandShare_{0.002}; // averaged over 5 s at an update every 10 ms
    double freeSlotShare_ = 1;
};

}

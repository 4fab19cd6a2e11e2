#pragma once

#include "core/moving_average.h"
#include "core/routing_snapshot.h"
#include "routing/admission_queue.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace carawaypoint
{

/// Slots that the customers use and want at this daemon, and the part of the capacity that is theirs here.
class CustomerAccounts : public ShareView
{
public:
    void addWaiting(const CustomerId &customer);
    void removeWaiting(const CustomerId &customer);
    void addInFlight(const CustomerId &customer, bool isLong);
    void removeInFlight(const CustomerId &customer, bool isLong);
    /// A request counted as short turned out to be long.
    void reclassifyAsLong(const CustomerId &customer);

    /// Determines the shares anew.
    /// @param capacity slots that all daemons of the zone share.
    void update(const RoutingSnapshot &snapshot, double capacity);

    /// Slots in use by one class of work relative to the customer's guaranteed share; below 1 it is within its share.
    double usedShare(const CustomerId &customer, bool isLong) const override;
    /// Slots that the customer can expect to get under the present demand of all customers.
    double expectedSlots(const CustomerId &customer) const;
    /// Slots guaranteed to the customer at this daemon, whatever the others want.
    double guaranteedSlots(const CustomerId &customer) const;
    /// Waiting requests of customers that are within their share.
    double waitingWithinShare() const;
    double totalInFlight() const;
    /// This daemon's part of the demand of all daemons, which is its part of free slots too.
    double claimShare() const
    {
        return claimShare_;
    }
    /// Slots in use and wanted.
    double demand(const CustomerId &customer) const;

    struct Account {
        std::array<std::uint32_t, 2> inFlight{}; // short, long
        std::uint32_t waiting = 0;
        double guaranteed = 1;
        MovingAverage part{0.002}; // of the customer's demand that is at this daemon; 5 s at an update every 10 ms
        double expected = 1;

        double demand() const
        {
            return inFlight[0] + inFlight[1] + waiting;
        }
    };
    const std::unordered_map<CustomerId, Account> &accounts() const
    {
        return accounts_;
    }

private:
    const Account *find(const CustomerId &customer) const;
    void setGuaranteed(const RoutingSnapshot &snapshot, double capacity);
    void setExpected(const RoutingSnapshot &snapshot, double capacity);

    void setClaimShare(const RoutingSnapshot &snapshot);

    std::unordered_map<CustomerId, Account> accounts_;
    // The exchanged demand is late, so that the quotient is too high at all daemons while demand rises; hence the slow mean.
    MovingAverage measuredShare_{0.002}; // 5 s at an update every 10 ms
    double claimShare_ = 1;
};

}

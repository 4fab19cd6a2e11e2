#pragma once

#include "core/routing_snapshot.h"
#include "routing/admission_queue.h"

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
    void addInFlight(const CustomerId &customer);
    void removeInFlight(const CustomerId &customer);

    /// Determines the shares anew.
    /// @param capacity slots that all daemons of the zone share.
    void update(const RoutingSnapshot &snapshot, double capacity);

    /// Slots in use relative to the customer's guaranteed share; below 1 the customer is within its share.
    double usedShare(const CustomerId &customer) const override;
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
        std::uint32_t inFlight = 0;
        std::uint32_t waiting = 0;
        double guaranteed = 1;
        double expected = 1;

        double demand() const
        {
            return inFlight + waiting;
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
    double claimShare_ = 1;
};

}

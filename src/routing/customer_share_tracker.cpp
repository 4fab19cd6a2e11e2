#include "routing/customer_share_tracker.h"

#include "routing/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace carawaypoint
{

namespace
{
void decrementIfPositive(std::uint32_t &count)
{
    count -= std::min(count, 1U);
}
}

void CustomerShareTracker::addWaiting(const CustomerId &customer)
{
    ++slotsByCustomer_[customer].waiting;
}

void CustomerShareTracker::removeWaiting(const CustomerId &customer)
{
    decrementIfPositive(slotsByCustomer_[customer].waiting);
}

void CustomerShareTracker::addInFlight(const CustomerId &customer, bool isLong)
{
    ++slotsByCustomer_[customer].inFlight[isLong ? 1 : 0];
}

void CustomerShareTracker::removeInFlight(const CustomerId &customer, bool isLong)
{
    decrementIfPositive(slotsByCustomer_[customer].inFlight[isLong ? 1 : 0]);
}

void CustomerShareTracker::reclassifyAsLong(const CustomerId &customer)
{
    removeInFlight(customer, false);
    addInFlight(customer, true);
}

void CustomerShareTracker::updateShares(const RoutingSnapshot &snapshot, double capacity)
{
    for (const CustomerView &view : snapshot.customers) {
        slotsByCustomer_.try_emplace(view.id);
    }
    if (slotsByCustomer_.size() > snapshot.customers.size()) {
        std::erase_if(slotsByCustomer_, [&](const auto &item) {
            const bool isConfigured =
                std::any_of(snapshot.customers.begin(), snapshot.customers.end(), [&](const CustomerView &view) { return view.id == item.first; });
            return !isConfigured && item.second.demand() == 0;
        });
    }
    setGuaranteed(snapshot, capacity);
    setExpected(snapshot, capacity);
    setFreeSlotShare(snapshot);
}

double CustomerShareTracker::usedShare(const CustomerId &customer, bool isLong) const
{
    const CustomerSlots *slots = findSlots(customer);
    if (!slots) {
        return 0;
    }
    // A customer's requests are distributed at random over the daemons; the square root adds one standard deviation for that.
    const double share = slots->guaranteed + std::sqrt(slots->guaranteed);
    return slots->inFlight[isLong ? 1 : 0] / std::max(1.0, share);
}

double CustomerShareTracker::expectedSlots(const CustomerId &customer) const
{
    const CustomerSlots *slots = findSlots(customer);
    return slots ? std::max(slots->expected, slots->guaranteed) : 1;
}

double CustomerShareTracker::guaranteedSlots(const CustomerId &customer) const
{
    const CustomerSlots *slots = findSlots(customer);
    return slots ? slots->guaranteed : 1;
}

double CustomerShareTracker::demand(const CustomerId &customer) const
{
    const CustomerSlots *slots = findSlots(customer);
    return slots ? slots->demand() : 0;
}

double CustomerShareTracker::waitingWithinShare() const
{
    double waiting = 0;
    for (const auto &[id, slots] : slotsByCustomer_) {
        waiting += usedShare(id, false) < 1 ? slots.waiting : 0;
    }
    return waiting;
}

double CustomerShareTracker::totalInFlight() const
{
    double inFlight = 0;
    for (const auto &[id, slots] : slotsByCustomer_) {
        inFlight += slots.inFlight[0] + slots.inFlight[1];
    }
    return inFlight;
}

const CustomerShareTracker::CustomerSlots *CustomerShareTracker::findSlots(const CustomerId &customer) const
{
    const auto found = slotsByCustomer_.find(customer);
    return found == slotsByCustomer_.end() ? nullptr : &found->second;
}

void CustomerShareTracker::setGuaranteed(const RoutingSnapshot &snapshot, double capacity)
{
    double totalWeight = static_cast<double>(slotsByCustomer_.size()); // customers that are not configured have weight 1
    for (const CustomerView &view : snapshot.customers) {
        totalWeight += view.weight - 1;
    }
    totalWeight = std::max(totalWeight, 1e-9);
    const double staticFraction = 1.0 / std::max(1U, snapshot.daemonsInZone);
    for (auto &[id, slots] : slotsByCustomer_) {
        slots.guaranteed = capacity * staticFraction / totalWeight;
    }
    for (const CustomerView &view : snapshot.customers) {
        CustomerSlots &slots = slotsByCustomer_[view.id];
        const double globalDemand = std::max(view.globalDemand, slots.demand());
        const bool isExchanged = snapshot.isPeerExchangeFresh && globalDemand > 0;
        slots.demandFraction.add(isExchanged ? slots.demand() / globalDemand : staticFraction);
        const double fraction = isExchanged ? (staticFraction + slots.demandFraction.value()) / 2 : staticFraction;
        const bool hasAllowance = snapshot.isPeerExchangeFresh && view.allowance > 0;
        slots.guaranteed = hasAllowance ? view.allowance : capacity * fraction * view.weight / totalWeight;
    }
}

void CustomerShareTracker::setExpected(const RoutingSnapshot &snapshot, double capacity)
{
    std::vector<WeightedDemand> weightedDemands;
    std::vector<CustomerSlots *> owners;
    double otherDaemonsDemand = 0; // slots of the capacity that customers demand at other daemons
    for (auto &[id, slots] : slotsByCustomer_) {
        const auto view = std::find_if(snapshot.customers.begin(), snapshot.customers.end(), [&id = id](const CustomerView &v) { return v.id == id; });
        const bool isExchanged = snapshot.isPeerExchangeFresh && view != snapshot.customers.end();
        const double ownDemand = std::max(1.0, slots.demand());
        const double totalDemand = isExchanged ? std::max(view->globalDemand, ownDemand) : ownDemand;
        otherDaemonsDemand += totalDemand - ownDemand;
        weightedDemands.push_back({view != snapshot.customers.end() ? view->weight : 1, totalDemand});
        owners.push_back(&slots);
    }
    const double available = otherDaemonsDemand > 0 ? capacity : capacity / std::max(1U, snapshot.daemonsInZone);
    const std::vector<double> shares = weightedShares(available, weightedDemands);
    for (std::size_t i = 0; i < owners.size(); ++i) {
        owners[i]->expected = shares[i] * std::max(1.0, owners[i]->demand()) / weightedDemands[i].demand;
    }
}

void CustomerShareTracker::setFreeSlotShare(const RoutingSnapshot &snapshot)
{
    double ownDemand = 0;
    double globalDemand = 0;
    for (const auto &[id, slots] : slotsByCustomer_) {
        ownDemand += slots.demand();
    }
    for (const CustomerView &view : snapshot.customers) {
        globalDemand += view.globalDemand;
    }
    const double staticShare = 1.0 / std::max(1U, snapshot.daemonsInZone);
    const bool isExchanged = snapshot.isPeerExchangeFresh && globalDemand > 0;
    // Demand includes slots in use, which in turn depend on this share. Giving the static share the same weight keeps that
    // feedback loop stable.
    meanDemandShare_.add(isExchanged ? ownDemand / std::max(globalDemand, ownDemand) : staticShare);
    freeSlotShare_ = isExchanged ? (staticShare + meanDemandShare_.value()) / 2 : staticShare;
}

}

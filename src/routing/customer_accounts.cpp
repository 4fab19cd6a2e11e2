#include "routing/customer_accounts.h"

#include "routing/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace carawaypoint
{

namespace
{
void decrease(std::uint32_t &count)
{
    count -= std::min(count, 1U);
}
}

void CustomerAccounts::addWaiting(const CustomerId &customer)
{
    ++accounts_[customer].waiting;
}

void CustomerAccounts::removeWaiting(const CustomerId &customer)
{
    decrease(accounts_[customer].waiting);
}

void CustomerAccounts::addInFlight(const CustomerId &customer, bool isLong)
{
    ++accounts_[customer].inFlight[isLong ? 1 : 0];
}

void CustomerAccounts::removeInFlight(const CustomerId &customer, bool isLong)
{
    decrease(accounts_[customer].inFlight[isLong ? 1 : 0]);
}

void CustomerAccounts::reclassifyAsLong(const CustomerId &customer)
{
    removeInFlight(customer, false);
    addInFlight(customer, true);
}

void CustomerAccounts::update(const RoutingSnapshot &snapshot, double capacity)
{
    for (const CustomerView &view : snapshot.customers) {
        accounts_.try_emplace(view.id);
    }
    if (accounts_.size() > snapshot.customers.size()) {
        std::erase_if(accounts_, [&](const auto &item) {
            const bool isConfigured =
                std::any_of(snapshot.customers.begin(), snapshot.customers.end(), [&](const CustomerView &view) { return view.id == item.first; });
            return !isConfigured && item.second.demand() == 0;
        });
    }
    setGuaranteed(snapshot, capacity);
    setExpected(snapshot, capacity);
    setClaimShare(snapshot);
}

double CustomerAccounts::usedShare(const CustomerId &customer, bool isLong) const
{
    const Account *account = find(customer);
    if (!account) {
        return 0;
    }
    // A customer's requests are spread at random over the daemons; the square root covers one standard deviation of that.
    const double share = account->guaranteed + std::sqrt(account->guaranteed);
    return account->inFlight[isLong ? 1 : 0] / std::max(1.0, share);
}

double CustomerAccounts::expectedSlots(const CustomerId &customer) const
{
    const Account *account = find(customer);
    return account ? std::max(account->expected, account->guaranteed) : 1;
}

double CustomerAccounts::guaranteedSlots(const CustomerId &customer) const
{
    const Account *account = find(customer);
    return account ? account->guaranteed : 1;
}

double CustomerAccounts::demand(const CustomerId &customer) const
{
    const Account *account = find(customer);
    return account ? account->demand() : 0;
}

double CustomerAccounts::waitingWithinShare() const
{
    double waiting = 0;
    for (const auto &[id, account] : accounts_) {
        waiting += usedShare(id, false) < 1 ? account.waiting : 0;
    }
    return waiting;
}

double CustomerAccounts::totalInFlight() const
{
    double inFlight = 0;
    for (const auto &[id, account] : accounts_) {
        inFlight += account.inFlight[0] + account.inFlight[1];
    }
    return inFlight;
}

const CustomerAccounts::Account *CustomerAccounts::find(const CustomerId &customer) const
{
    const auto found = accounts_.find(customer);
    return found == accounts_.end() ? nullptr : &found->second;
}

void CustomerAccounts::setGuaranteed(const RoutingSnapshot &snapshot, double capacity)
{
    double totalWeight = static_cast<double>(accounts_.size()); // customers that are not configured have weight 1
    for (const CustomerView &view : snapshot.customers) {
        totalWeight += view.weight - 1;
    }
    totalWeight = std::max(totalWeight, 1e-9);
    const double staticPart = 1.0 / std::max(1U, snapshot.daemonsInZone);
    for (auto &[id, account] : accounts_) {
        account.guaranteed = capacity * staticPart / totalWeight;
    }
    for (const CustomerView &view : snapshot.customers) {
        Account &account = accounts_[view.id];
        const double global = std::max(view.globalDemand, account.demand());
        const bool isExchanged = snapshot.isPeerExchangeFresh && global > 0;
        account.part.add(isExchanged ? account.demand() / global : staticPart);
        const double part = isExchanged ? (staticPart + account.part.value()) / 2 : staticPart;
        const bool hasAllowance = snapshot.isPeerExchangeFresh && view.allowance > 0;
        account.guaranteed = hasAllowance ? view.allowance : capacity * part * view.weight / totalWeight;
    }
}

void CustomerAccounts::setExpected(const RoutingSnapshot &snapshot, double capacity)
{
    std::vector<ShareClaim> claims;
    std::vector<Account *> owners;
    double foreign = 0; // demand at other daemons, which takes its part of the capacity
    for (auto &[id, account] : accounts_) {
        const auto view = std::find_if(snapshot.customers.begin(), snapshot.customers.end(), [&id = id](const CustomerView &v) { return v.id == id; });
        const bool isExchanged = snapshot.isPeerExchangeFresh && view != snapshot.customers.end();
        const double own = std::max(1.0, account.demand());
        const double all = isExchanged ? std::max(view->globalDemand, own) : own;
        foreign += all - own;
        claims.push_back({view != snapshot.customers.end() ? view->weight : 1, all});
        owners.push_back(&account);
    }
    const double available = foreign > 0 ? capacity : capacity / std::max(1U, snapshot.daemonsInZone);
    const std::vector<double> shares = weightedShares(available, claims);
    for (std::size_t i = 0; i < owners.size(); ++i) {
        owners[i]->expected = shares[i] * std::max(1.0, owners[i]->demand()) / claims[i].demand;
    }
}

void CustomerAccounts::setClaimShare(const RoutingSnapshot &snapshot)
{
    double own = 0;
    double global = 0;
    for (const auto &[id, account] : accounts_) {
        own += account.demand();
    }
    for (const CustomerView &view : snapshot.customers) {
        global += view.globalDemand;
    }
    const double staticShare = 1.0 / std::max(1U, snapshot.daemonsInZone);
    const bool isExchanged = snapshot.isPeerExchangeFresh && global > 0;
    // Demand includes slots in use, which follow the claims. Weighting the static share as much keeps that feedback stable.
    measuredShare_.add(isExchanged ? own / std::max(global, own) : staticShare);
    claimShare_ = isExchanged ? (staticShare + measuredShare_.value()) / 2 : staticShare;
}

}

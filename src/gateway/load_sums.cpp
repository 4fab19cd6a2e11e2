#include "gateway/load_sums.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

using LoadsByServer = std::unordered_map<VmId, BackendLoad>;

void addLoads(LoadsByServer &sums, std::span<const BackendLoad> loads)
{
    for (const auto &load : loads) {
        auto &sum = sums[load.server];
        sum.server = load.server;
        sum.add(load);
    }
}

std::vector<BackendLoad> toList(const LoadsByServer &sums)
{
    std::vector<BackendLoad> loads;
    loads.reserve(sums.size());
    for (const auto &[server, load] : sums) {
        loads.push_back(load);
    }
    return loads;
}

double requestCount(std::span<const BackendLoad> loads)
{
    double requests = 0;
    for (const auto &load : loads) {
        requests += load.requests;
    }
    return requests;
}

/// Mean of ages, weighted by requests.
class MeanAge
{
public:
    void add(Duration age, double requests)
    {
        weighted_ += static_cast<double>(age.count()) * requests;
        requests_ += requests;
    }
    Duration value() const
    {
        return Duration(requests_ <= 0 ? 0 : static_cast<Duration::rep>(weighted_ / requests_));
    }

private:
    double weighted_ = 0;
    double requests_ = 0;
};

}

void addUnmet(std::vector<UnmetLoad> &sums, std::span<const UnmetLoad> loads)
{
    for (const auto &load : loads) {
        const auto found = std::find_if(sums.begin(), sums.end(), [&load](const UnmetLoad &sum) { return sum.pool == load.pool; });
        if (found == sums.end()) {
            sums.push_back(load);
        } else {
            found->requests += load.requests;
        }
    }
}

void LoadSums::setReport(const GatewayLoadReport &report, TimePoint now)
{
    reports_[report.gateway] = {report, now};
}

void LoadSums::setZoneSum(const GatewayLoadReport &sum, TimePoint now)
{
    zoneSums_[sum.zone] = {sum, now};
}

/// Adds the reports that are recent enough to @p sum.
template<typename Key>
void LoadSums::addAll(GatewayLoadReport &sum, const std::map<Key, Received> &received, TimePoint now)
{
    LoadsByServer loads;
    MeanAge age;
    addLoads(loads, sum.loads);
    age.add(sum.countAge, requestCount(sum.loads));
    for (const auto &[source, entry] : received) {
        if (now - entry.at >= ReportTimeout) {
            continue;
        }
        addLoads(loads, entry.report.loads);
        age.add(entry.report.countAge + (now - entry.at), requestCount(entry.report.loads));
        sum.requestsStarted += entry.report.requestsStarted;
        addUnmet(sum.unmet, entry.report.unmet);
    }
    sum.loads = toList(loads);
    sum.countAge = age.value();
}

GatewayLoadReport LoadSums::zoneSum(const GatewayLoadReport &own, TimePoint now) const
{
    auto sum = own;
    addAll(sum, reports_, now);
    return sum;
}

GatewayLoadReport LoadSums::fleetSum(const GatewayLoadReport &zoneSum, TimePoint now) const
{
    auto sum = zoneSum;
    sum.isFleetSum = true;
    addAll(sum, zoneSums_, now);
    return sum;
}

}

#include "fleet/model_demand.h"

#include <algorithm>
#include <limits>

namespace carawaypoint
{

namespace
{

double ratio(double servers, double needed)
{
    return needed <= 0 ? std::numeric_limits<double>::infinity() : servers / needed;
}

}

double ModelDemand::coverage() const
{
    return coverageAfter(0);
}

double ModelDemand::coverageAfter(double change) const
{
    return ratio(servers + change, weight);
}

double ModelDemand::peakCoverageAfter(double change) const
{
    return ratio(servers + change, std::max(weight, peakWeight));
}

}

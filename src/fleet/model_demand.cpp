#include "fleet/model_demand.h"

#include <limits>

namespace carawaypoint
{

double ModelDemand::coverage() const
{
    return coverageAfter(0);
}

double ModelDemand::coverageAfter(double change) const
{
    return weight <= 0 ? std::numeric_limits<double>::infinity() : (servers + change) / weight;
}

}

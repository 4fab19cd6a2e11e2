#pragma once

#include <cstddef>
#include <vector>

namespace carawaypoint::experiments
{

/// Mean and extremes of a figure over the seeds.
struct Spread {
    double mean = 0;
    double least = 0;
    double most = 0;
};

Spread spreadOf(const std::vector<double> &values);

/// The quantile @p q of @p values by rank; 0 when there are none.
double quantile(std::vector<double> values, double q);

double meanOf(const std::vector<double> &values);

}

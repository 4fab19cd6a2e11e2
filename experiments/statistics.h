#pragma once

#include <cstddef>
#include <vector>

namespace carawaypoint::experiments
{

/// Mean, minimum and maximum of a measured value over the seeds.
struct SampleSummary {
    double mean = 0;
    double minimum = 0;
    double maximum = 0;
};

SampleSummary summarize(const std::vector<double> &values);

/// Returns the quantile @p q (0 to 1) of @p values by rank; 0 when there are no values.
double quantile(std::vector<double> values, double q);

double meanOf(const std::vector<double> &values);

}

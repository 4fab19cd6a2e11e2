#pragma once

#include "experiments/table.h"

#include <vector>

namespace carawaypoint::experiments
{

/// The experiments for the targets of design section 1.4. Each runs baseline and chosen policy on the same workloads, one
/// per seed.
std::vector<Measure> measureShortBehindLong(const RunOptions &options);
std::vector<Measure> measurePeakDemand(const RunOptions &options);
std::vector<Measure> measureLateReports(const RunOptions &options);
std::vector<Measure> measureStraggler(const RunOptions &options);

/// Prints the time of a decision and the memory of a dispatcher against the number of replicas and customers.
void printDecisionCost();

}

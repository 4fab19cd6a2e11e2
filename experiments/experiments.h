#pragma once

#include "experiments/table.h"

#include <vector>

namespace carawaypoint::experiments
{

/// Experiments for the targets in section 1.4 of the design page. Each runs the baseline and the chosen policy on the same
/// workloads, one per seed.
std::vector<Measure> measureShortBehindLong(const RunOptions &options);
std::vector<Measure> measurePeakDemand(const RunOptions &options);
std::vector<Measure> measureLateReports(const RunOptions &options);
std::vector<Measure> measureStraggler(const RunOptions &options);

/// Prints the CPU time of a dispatcher's decisions and its memory for several numbers of replicas and customers.
void printDecisionCost();

}

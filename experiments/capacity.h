#pragma once

#include "experiments/fake_engine.h"
#include "experiments/workload.h"

namespace carawaypoint::experiments
{

/// Returns the requests per second that one engine completes when its batch is always full. The requests of @p mix are used
/// cyclically.
double saturatedRate(const EngineSettings &settings, const Workload &mix);

}

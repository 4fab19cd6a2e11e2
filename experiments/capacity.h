#pragma once

#include "experiments/fake_engine.h"
#include "experiments/workload.h"

namespace carawaypoint::experiments
{

/// Requests per second that one engine completes of @p mix when its batch is always full. The mix is used in a circle.
double saturatedRate(const EngineSettings &settings, const Workload &mix);

}

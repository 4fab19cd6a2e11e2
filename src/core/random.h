#pragma once

#include <random>

namespace carawaypoint
{

/// Random generator that callers pass to decision logic, so that a run can be reproduced from its seed.
using RandomGenerator = std::mt19937_64;

}

#pragma once

#include <random>

namespace carawaypoint
{

/// The generator that all decision logic takes from its caller, so that a seed reproduces a run.
using RandomGenerator = std::mt19937_64;

}

#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>

namespace carawaypoint
{

inline double inSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Rounds toward zero to whole milliseconds.
inline std::int64_t inMilliseconds(Duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

}

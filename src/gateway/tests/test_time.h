#pragma once

#include "base/clock.h"

namespace mustardtrail::gateway::testing
{

/// Point on the tests' clock, in milliseconds.
inline time_point at(int milliseconds)
{
    return time_point{} + std::chrono::milliseconds(milliseconds);
}

} // namespace mustardtrail::gateway::testing

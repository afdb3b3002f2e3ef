#pragma once

#include <chrono>
#include <vector>

namespace mustardtrail::load
{

/// Nearest-rank quantile, 0 < part <= 1; zero without values.
std::chrono::nanoseconds quantile(std::vector<std::chrono::nanoseconds> values, double part);

} // namespace mustardtrail::load

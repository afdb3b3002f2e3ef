#include "programs/load/quantile.h"

#include <algorithm>
#include <cmath>

namespace mustardtrail::load
{

std::chrono::nanoseconds quantile(std::vector<std::chrono::nanoseconds> values, double part)
{
    if (values.empty()) {
        return {};
    }
    const auto rank = static_cast<size_t>(std::ceil(part * static_cast<double>(values.size())));
    const size_t index = std::clamp<size_t>(rank, 1, values.size()) - 1;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

} // namespace mustardtrail::load

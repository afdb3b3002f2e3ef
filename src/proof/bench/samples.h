#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace mustardtrail::proof
{

/// Measured times with their order statistics.
class samples
{
public:
    void add(std::chrono::nanoseconds value);
    size_t count() const;
    /// Nearest-rank quantile, 0 < part <= 1; zero without samples.
    std::chrono::nanoseconds quantile(double part) const;
    std::chrono::nanoseconds worst() const;

private:
    std::vector<std::chrono::nanoseconds> m_values;
};

/// Milliseconds with two decimals.
std::string milliText(std::chrono::nanoseconds value);
/// Seconds with two decimals.
std::string secondText(std::chrono::nanoseconds value);

} // namespace mustardtrail::proof

#pragma once

#include "base/clock.h"
#include "base/log_line.h"

#include <cstdint>

namespace mustardtrail::gateway
{

/// Log lines of one process, bounded: over the rate, or when nobody reads them, they are dropped, counted, and the count
/// is logged.
class rate_limited_log
{
public:
    explicit rate_limited_log(const monotonic_clock &clock);

    void write(const log_line &line);
    std::uint64_t dropped() const;

    static constexpr double linesPerSecond = 400.0; ///< Twice a busy instance's requests, each with a line at start and end.
    static constexpr double burstLines = 400.0; ///< One second's worth.

private:
    const monotonic_clock &m_clock;
    double m_tokens = burstLines;
    time_point m_refilledAt{};
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

} // namespace mustardtrail::gateway

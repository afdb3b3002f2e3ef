#pragma once

#include "base/clock.h"
#include "base/log_line.h"

#include <cstdint>

namespace mustardtrail::gateway
{

/// Rate-limited log of one process. Lines above the rate, or that cannot be written because the output is not read, are
/// dropped; their number is logged.
class rate_limited_log
{
public:
    explicit rate_limited_log(const monotonic_clock &clock);

    void write(const log_line &line);
    std::uint64_t dropped() const;

    static constexpr double linesPerSecond = 400.0; ///< Twice the lines of a busy instance, which logs each request's start and end.
    static constexpr double burstLines = 400.0; ///< Lines of one second.

private:
    const monotonic_clock &m_clock;
    double m_tokens = burstLines;
    time_point m_refilledAt{};
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

} // namespace mustardtrail::gateway

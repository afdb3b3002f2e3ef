#include "gateway/report_pace.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr double bitsPerByte = 8.0;

} // namespace

report_pace::report_pace(std::int64_t linkBitsPerSecond)
    : m_bytesPerSecond(static_cast<double>(std::max<std::int64_t>(linkBitsPerSecond, 0)) / bitsPerByte * linkShare)
{
}

void report_pace::recordSent(size_t bytes, time_point now)
{
    if (m_bytesPerSecond > 0.0) {
        const std::chrono::duration<double> transmission(static_cast<double>(bytes) / m_bytesPerSecond);
        m_nextAt = std::max(m_nextAt, now) + std::chrono::duration_cast<time_point::duration>(transmission);
    }
}

time_point report_pace::nextAt() const
{
    return m_nextAt;
}

} // namespace mustardtrail::gateway

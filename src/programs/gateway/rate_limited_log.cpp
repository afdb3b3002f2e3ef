#include "programs/gateway/rate_limited_log.h"

#include "host/log.h"

#include <algorithm>

namespace mustardtrail::gateway
{

rate_limited_log::rate_limited_log(const monotonic_clock &clock)
    : m_clock(clock)
    , m_refilledAt(clock.now())
{
}

void rate_limited_log::write(const log_line &line)
{
    const time_point now = m_clock.now();
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(burstLines, m_tokens + elapsed * linesPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1.0) {
        ++m_dropped;
        return;
    }
    m_tokens -= 1.0;
    if (dropped() != m_reportedDropped) {
        const std::uint64_t count = dropped() - m_reportedDropped;
        m_reportedDropped = dropped();
        host::log(host::log_level::warning, log_line("log_lines_dropped").add("count", static_cast<std::int64_t>(count)));
    }
    host::log(host::log_level::info, line);
}

std::uint64_t rate_limited_log::dropped() const
{
    return m_dropped + host::droppedLogLines();
}

} // namespace mustardtrail::gateway

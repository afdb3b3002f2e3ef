#include "programs/gateway/decision_log.h"

#include "host/log.h"

#include <algorithm>

namespace mustardtrail::gateway
{

decision_log::decision_log(const monotonic_clock &clock)
    : m_clock(clock)
    , m_filledAt(clock.now())
{
}

void decision_log::write(const log_line &line)
{
    const time_point now = m_clock.now();
    const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
    m_room = std::min(burstLines, m_room + elapsed * linesPerSecond);
    m_filledAt = now;
    if (m_room < 1.0) {
        ++m_dropped;
        return;
    }
    m_room -= 1.0;
    if (dropped() != m_toldDropped) {
        const std::uint64_t count = dropped() - m_toldDropped;
        m_toldDropped = dropped();
        host::log(host::log_level::warning, log_line("log_lines_dropped").add("count", static_cast<std::int64_t>(count)));
    }
    host::log(host::log_level::info, line);
}

std::uint64_t decision_log::dropped() const
{
    return m_dropped + host::unwrittenLogLines();
}

} // namespace mustardtrail::gateway

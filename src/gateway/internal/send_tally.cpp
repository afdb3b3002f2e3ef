#include "gateway/send_tally.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr unsigned maxUnreserved = 12; // Orders to engines, which cost them less than a send.
constexpr unsigned maxUnreached = 6;
constexpr unsigned maxUnreachedAfterRun = 12; // With a pause before each.
constexpr std::chrono::milliseconds firstPause{ 20 };
constexpr unsigned maxDoublings = 4; // Of the pause.
constexpr unsigned maxRefused = 6; // Cheap for a server, but not free.
constexpr unsigned maxRan = 6; // Beside the route's limit of servers: a send that lost its relay may go to the same server again.

} // namespace

void send_tally::record(const attempt_failure &failure)
{
    m_isInVain = failure.isUnreachable && failure.outcome == verdict::not_run;
    if (failure.outcome != verdict::not_run) {
        m_unreserved = m_unreached = m_refused = 0;
        ++m_ran;
    } else if (failure.isUnreserved) {
        ++m_unreserved;
    } else if (failure.isUnreachable) {
        ++m_unreached;
    } else {
        ++m_refused;
    }
}

void send_tally::recordReadmission()
{
    m_isInVain = true;
}

std::string_view send_tally::reachedLimit() const
{
    if (m_ran >= maxRan) {
        return "runs";
    }
    if (m_refused >= maxRefused) {
        return "refusals";
    }
    if (m_unreached >= (m_ran == 0 ? maxUnreached : maxUnreachedAfterRun)) {
        return "unreached";
    }
    return m_unreserved >= maxUnreserved ? "reservations" : "";
}

// A request that nobody has run is refused instead: its caller can come back.
std::chrono::milliseconds send_tally::pauseBeforeNext() const
{
    const unsigned inVain = m_unreached + m_refused;
    if (!m_isInVain || m_ran == 0 || inVain == 0) {
        return std::chrono::milliseconds(0);
    }
    return firstPause * (1 << std::min(inVain - 1, maxDoublings));
}

} // namespace mustardtrail::gateway

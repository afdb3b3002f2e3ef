#include "gateway/send_tally.h"

namespace mustardtrail::gateway
{

namespace
{

constexpr unsigned maxUnreserved = 12; // Orders to engines, which cost them less than a send.
constexpr unsigned maxUnreached = 6;
constexpr unsigned maxRefused = 6; // Cheap for a server, but not free.
constexpr unsigned maxRan = 6; // Beside the route's limit of servers: a send that lost its relay may go to the same server again.

} // namespace

void send_tally::record(const attempt_failure &failure)
{
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

std::string_view send_tally::reachedLimit() const
{
    if (m_ran >= maxRan) {
        return "runs";
    }
    if (m_refused >= maxRefused) {
        return "refusals";
    }
    if (m_unreached >= maxUnreached) {
        return "unreached";
    }
    return m_unreserved >= maxUnreserved ? "reservations" : "";
}

} // namespace mustardtrail::gateway

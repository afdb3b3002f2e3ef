#include "programs/gateway/request_session.h"

namespace mustardtrail::gateway
{

void request_session::onEnding()
{
    // No other answer can take the place of one that has begun; it may still end in time.
    if (!m_exchange.hasStarted()) {
        interrupt();
    }
}

// Its coroutine may wait for a caller that does not read, so the line and the release do not depend on it.
void request_session::onProcessEnd()
{
    if (m_hasOutcome) {
        return;
    }
    logOutcome(m_exchange.hasStarted() ? "stream_broken" : "request_cut", 0, instanceEnds);
    interrupt();
    if (m_reservations) {
        m_reservations->release();
    }
}

} // namespace mustardtrail::gateway

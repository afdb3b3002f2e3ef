#include "gateway/server_inquiry.h"

#include <algorithm>

namespace mustardtrail::gateway
{

server_inquiry::server_inquiry(time_point doubtedAt)
    : m_doubtedAt(doubtedAt)
    , m_askAt(doubtedAt)
{
}

void server_inquiry::recordDoubt(time_point at)
{
    m_doubtedAt = std::max(m_doubtedAt, at);
}

void server_inquiry::recordEvidence(const server_evidence &evidence, time_point now)
{
    m_askAt.reset();
    const server_life life = lifeShownBy(evidence);
    const bool isAnswered = life == server_life::ended || (life == server_life::runs && evidence.at >= m_doubtedAt);
    const bool hasNoReport = evidence.seen == server_sign::no_report;
    if (isAnswered || hasNoReport || now + m_delay > m_doubtedAt + openFor) {
        return;
    }
    m_askAt = now + m_delay;
    m_delay = std::min(2 * m_delay, maxDelay);
}

std::optional<time_point> server_inquiry::askAt() const
{
    return m_askAt;
}

time_point server_inquiry::doubtedAt() const
{
    return m_doubtedAt;
}

} // namespace mustardtrail::gateway

#include "gateway/lease_schedule.h"

namespace mustardtrail::gateway
{

lease_schedule::lease_schedule(const reservation_limits &limits, time_point sentAt)
    : m_limits(limits)
    , m_leaseEndsAt(sentAt + limits.lease)
    , m_nextAt(sentAt + limits.renewalInterval)
{
}

void lease_schedule::record(renewal_outcome outcome, time_point sentAt)
{
    if (outcome == renewal_outcome::granted) {
        m_leaseEndsAt = sentAt + m_limits.lease;
    }
    const bool isUrgent = outcome == renewal_outcome::unanswered && sentAt < m_leaseEndsAt;
    m_nextAt = sentAt + (isUrgent ? m_limits.retryInterval : m_limits.renewalInterval);
}

time_point lease_schedule::nextAt() const
{
    return m_nextAt;
}

} // namespace mustardtrail::gateway

#include "gateway/lease_schedule.h"

namespace mustardtrail::gateway
{

namespace
{

constexpr std::chrono::milliseconds questionTime{ 500 }; ///< Until a late event loop has read the answer and sent the renewal.

} // namespace

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
    m_isRefused = outcome == renewal_outcome::refused;
    const bool isUrgent = outcome == renewal_outcome::unanswered && sentAt < m_leaseEndsAt;
    m_nextAt = sentAt + (isUrgent ? m_limits.retryInterval : m_limits.renewalInterval);
}

void lease_schedule::recordUse(memory_use use)
{
    if (use == memory_use::unknown) {
        return;
    }
    m_isUseOver = m_wasUsed && use != memory_use::used;
    m_wasUsed = m_wasUsed || use == memory_use::used;
}

time_point lease_schedule::nextAt() const
{
    return m_nextAt;
}

renewal_order lease_schedule::orderAt(const reservation_age &age, time_point now) const
{
    // After a stand-still of the event loop, events that had arrived long before are read as new ones.
    const bool isLate = now - m_nextAt >= m_limits.renewalInterval;
    if (!(isLate && age.lastEventAt) && !needsProofOfUse(age, m_limits, now)) {
        return m_isUseOver && !age.lastEventAt ? renewal_order::ask_whether_used : renewal_order::renew;
    }
    // After its end a renewal would reserve the memory anew; before the first event it might keep unused memory for too long.
    const bool endsSoon = now < m_leaseEndsAt && m_leaseEndsAt - now < questionTime;
    return endsSoon && age.lastEventAt && !m_isRefused ? renewal_order::renew_first : renewal_order::ask_first;
}

} // namespace mustardtrail::gateway

#include "membership/internal/view_confirmation.h"

#include <algorithm>

namespace mustardtrail::membership
{

view_confirmation::view_confirmation(const confirmation_settings &settings)
    : m_settings(settings)
{
}

std::optional<std::chrono::nanoseconds> view_confirmation::tick(time_point now)
{
    const auto last = std::exchange(m_lastTick, now);
    if (!last) {
        m_refreshFrom = now;
        m_lastContact = now;
        return std::nullopt;
    }
    if (now - *last <= m_settings.pauseBound || !m_settings.detectsPauses) {
        return std::nullopt;
    }
    m_refreshing = true;
    m_refreshFrom = now;
    m_lastContact = now;
    m_acksSinceRefresh.clear();
    return now - *last;
}

// An ack confirms the view as of the time at which its probe was sent, not at which it arrived: an ack that lay in
// the socket while the process slept says nothing about now.
void view_confirmation::acked(const instance_id &peer, time_point sentAt, time_point now)
{
    if (m_settings.detectsPauses && sentAt < m_refreshFrom) {
        return;
    }
    m_lastAckSent = std::max(m_lastAckSent, sentAt);
    m_lastContact = now;
    m_acksSinceRefresh.insert(peer);
}

bool view_confirmation::hasEnoughAcks(size_t answering, time_point now) const
{
    const size_t wanted = now - m_refreshFrom >= m_settings.fewerAcksAfter ? 1 : std::min(m_settings.refreshAcks, answering);
    return m_acksSinceRefresh.size() >= wanted;
}

bool view_confirmation::update(size_t listedPeers, size_t answering, bool upToDate, time_point now)
{
    const bool wasIsolated = m_isolated;
    const bool silent = now - m_lastContact >= m_settings.isolatedAfter;
    m_isolated = listedPeers > 0 && silent;
    const bool alone = listedPeers == 0 && answering == 0;
    if (m_refreshing) {
        const bool contact = alone || m_isolated || (!m_acksSinceRefresh.empty() && hasEnoughAcks(answering, now));
        const bool waited = now - m_refreshFrom >= m_settings.refreshTimeout;
        m_refreshing = !(contact && (upToDate || waited));
    }
    if (!m_refreshing) {
        m_confirmedAt = std::max(m_confirmedAt, alone || m_isolated ? now : m_lastAckSent);
    }
    return wasIsolated && !m_isolated;
}

time_point view_confirmation::confirmedAt() const
{
    return m_confirmedAt;
}

bool view_confirmation::isIsolated() const
{
    return m_isolated;
}

bool view_confirmation::isRefreshing() const
{
    return m_refreshing;
}

time_point view_confirmation::refreshingSince() const
{
    return m_refreshFrom;
}

} // namespace mustardtrail::membership

#include "base/log_line.h"
#include "membership/internal/view_logic.h"

namespace mustardtrail::membership
{

bool view_logic::isUpToDate() const
{
    return m_config.isCaughtUp() && m_list.hasAnswerSince(m_confirmation.refreshingSince());
}

void view_logic::confirm(time_point now)
{
    countMembers();
    const bool wasIsolated = m_confirmation.isIsolated();
    const bool wasRefreshing = m_confirmation.isRefreshing();
    const bool reunited = m_confirmation.update(m_counts.listedPeers, m_counts.answering, isUpToDate(), now);
    if (wasIsolated != m_confirmation.isIsolated()) {
        log(log_line(wasIsolated ? "isolation_over" : "isolated").str());
        ++m_claimChanges;
    }
    if (reunited) {
        m_ownership.interrupt();
    }
    if (wasRefreshing && !m_confirmation.isRefreshing()) {
        ++m_claimChanges;
    }
    if (m_config.store().revision() > m_pushedRevision) {
        m_pushedRevision = m_config.store().revision();
        send(m_detector.probeNow(m_settings.detector.pushFanout, now), now);
    }
}

// Changes of members come in bursts when a data centre is cut off; they are taken together.
bool view_logic::isStale(time_point now) const
{
    const bool urgent
        = m_builtRevision != m_config.store().revision() || m_builtListings != m_list.book().changes() || m_builtClaims != m_claimChanges;
    return urgent || (m_builtMembers != m_members.changes() && now - m_rebuiltAt >= m_settings.tickInterval);
}

void view_logic::publish(time_point now)
{
    if (m_config.store().revision() == 0) {
        return;
    }
    const time_point confirmedAt = m_confirmation.confirmedAt();
    const bool renewed = m_view == nullptr || (confirmedAt > m_view->confirmedAt && now - m_publishedAt >= m_settings.publishInterval);
    if (isStale(now)) {
        rebuild(now);
    } else if (renewed) {
        auto next = std::make_shared<fleet_view>(*m_view);
        next->confirmedAt = confirmedAt;
        m_view = std::move(next);
    } else {
        return;
    }
    m_publishedAt = now;
    m_out.emplace_back(publish_view{ m_view });
}

void view_logic::rebuild(time_point now)
{
    auto next = std::make_shared<fleet_view>(
        buildView({ m_members, m_list.book(), m_config.store().inForce(), m_settings.drains }, m_view.get(), m_builtCandidates));
    m_rebuiltAt = now;
    // During a refresh no claim is made: its number could be below that of an owner not heard of yet.
    if (!m_confirmation.isRefreshing()) {
        m_ownership.update(ownedBySelf(*next), m_clock, now);
    }
    addClaims(*next, m_ownership);
    next->confirmedAt = m_confirmation.confirmedAt();
    next->isolated = m_confirmation.isIsolated();
    m_view = std::move(next);
    m_builtRevision = m_config.store().revision();
    m_builtMembers = m_members.changes();
    m_builtListings = m_list.book().changes();
    m_builtClaims = m_claimChanges;
}

} // namespace mustardtrail::membership

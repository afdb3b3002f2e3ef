#include "gateway/store_watcher.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr std::chrono::milliseconds initialRetryDelay{ 100 };
constexpr std::chrono::milliseconds maxRetryDelay{ 800 }; // A store that is back is read again within a second.

/// Delay of the next try after this many failed ones.
std::chrono::milliseconds retryDelay(unsigned failures)
{
    return failures == 0 ? std::chrono::milliseconds(0) : std::min(maxRetryDelay, initialRetryDelay * (1 << std::min(failures - 1, 4U)));
}

} // namespace

store_watcher::store_watcher(std::chrono::milliseconds batchDelay, std::chrono::milliseconds reconnectLimit)
    : m_batchDelay(batchDelay)
    , m_reconnectLimit(reconnectLimit)
{
}

store_query store_watcher::nextQuery() const
{
    store_query query;
    if (m_failures > 0) {
        query.delay = retryDelay(m_failures);
    } else if (!m_hasList && m_afterKey.empty()) {
        query.delay = retryDelay(m_uselessLists);
    } else if (m_hasList && m_lastChangeCount > 0) {
        query.delay = m_batchDelay;
    }
    query.type = m_hasList ? store_query::kind::changes : store_query::kind::list;
    query.mayBeStale = m_mayListBeStale;
    query.afterKey = m_afterKey;
    query.afterRevision = m_revision;
    query.longPollTimeout = m_isListConfirmed ? longPollTimeout : std::chrono::milliseconds(0);
    return query;
}

void store_watcher::recordAnswer(time_point now)
{
    if (m_missingAnswers > 0) {
        m_graceUntil = std::max(m_graceUntil, graceAfterFailures(now));
    }
    m_failures = 0;
    m_missingAnswers = 0;
    m_lastAnswerAt = now;
}

// The store may have served all others while a kept connection of this instance was silent, which one failed query does not tell
// from an outage. A server whose removal is read then may have been gone since the last news.
time_point store_watcher::graceAfterFailures(time_point now) const
{
    const time_point afterOutage = now + outageGrace;
    if (m_missingAnswers > 1) {
        return afterOutage;
    }
    return std::min(afterOutage, std::max(m_lastAnswerAt + m_reconnectLimit, m_lastRelayAt + outageGrace));
}

bool store_watcher::onEra(std::uint64_t era, time_point now)
{
    if (era <= m_era) {
        return era == m_era;
    }
    m_era = era;
    if (!hasRead()) {
        return true;
    }
    m_settlingUntil = now + settlingTime;
    m_graceUntil = std::max(m_graceUntil, m_settlingUntil);
    m_isFirstListOfEra = true;
    m_revision = 0;
    m_isRevisionListed = false;
    m_uselessLists = 0;
    onHistoryGone();
    return true;
}

bool store_watcher::hasRead() const
{
    return m_hasList || m_revision > 0 || !m_afterKey.empty();
}

bool store_watcher::isSettling(time_point now) const
{
    return now < m_settlingUntil;
}

bool store_watcher::isFirstListOfEra() const
{
    return m_isFirstListOfEra;
}

store_position store_watcher::position() const
{
    return { m_era, m_hasList ? m_revision : 0 };
}

bool store_watcher::onPage(std::uint64_t storeRevision, bool hasMore, const std::string &lastKey, time_point now)
{
    recordAnswer(now);
    m_listRevision = m_afterKey.empty() ? storeRevision : std::min(m_listRevision, storeRevision);
    m_afterKey = hasMore ? lastKey : std::string();
    if (hasMore) {
        return false;
    }
    m_hasList = true;
    m_isListConfirmed = !m_mayListBeStale;
    m_isFirstListOfEra = false;
    m_lastChangeCount = 0;
    m_revision = std::max(m_revision, m_listRevision);
    m_isRevisionListed = true;
    return true;
}

bool store_watcher::onChanges(std::uint64_t storeRevision, size_t count, time_point now)
{
    recordAnswer(now);
    m_lastChangeCount = count;
    if (storeRevision < m_revision) {
        return false;
    }
    m_revision = storeRevision;
    m_isListConfirmed = true;
    m_isRevisionListed = false;
    m_uselessLists = 0;
    return true;
}

bool store_watcher::onRelay(std::uint64_t fromRevision, std::uint64_t toRevision, time_point graceUntil, time_point now)
{
    if (fromRevision > m_revision) {
        return false;
    }
    m_lastRelayAt = now;
    m_revision = std::max(m_revision, toRevision);
    m_isListConfirmed = true;
    m_graceUntil = std::max(m_graceUntil, graceUntil);
    // The store answers another instance: servers that go missing later do so for other reasons than the failures seen here, so
    // the next response starts no grace period.
    m_failures = 0;
    m_missingAnswers = 0;
    return true;
}

void store_watcher::onRelayOfKnownRevision(std::uint64_t revision, time_point now)
{
    if (revision >= m_revision) {
        m_lastRelayAt = now;
    }
}

bool store_watcher::isListConfirmed() const
{
    return m_isListConfirmed;
}

bool store_watcher::hasList() const
{
    return m_hasList;
}

std::uint64_t store_watcher::revision() const
{
    return m_revision;
}

void store_watcher::onHistoryGone()
{
    m_uselessLists += m_isRevisionListed && !m_mayListBeStale ? 1 : 0;
    m_isRevisionListed = false;
    m_mayListBeStale = false;
    m_hasList = false;
    m_afterKey.clear();
}

void store_watcher::onFailure(store_failure why)
{
    ++m_failures;
    m_missingAnswers += why == store_failure::no_answer ? 1 : 0;
    m_afterKey.clear();
    if (why == store_failure::too_large && m_hasList) {
        onHistoryGone();
    }
}

bool store_watcher::isReachable() const
{
    return m_failures == 0;
}

time_point store_watcher::graceUntil() const
{
    return m_graceUntil;
}

} // namespace mustardtrail::gateway

#include "gateway/store_follower.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr std::chrono::milliseconds firstRetry{ 100 };
constexpr std::chrono::milliseconds longestRetry{ 800 }; // Back within a second of the store's return.

} // namespace

store_follower::store_follower(std::chrono::milliseconds batchPause)
    : m_batchPause(batchPause)
{
}

store_question store_follower::next() const
{
    store_question question;
    if (m_failures > 0) {
        question.pauseBefore = std::min(longestRetry, firstRetry * (1 << std::min(m_failures - 1, 4U)));
    } else if (m_hasList && m_lastCount > 0) {
        question.pauseBefore = m_batchPause;
    }
    question.what = m_hasList ? store_question::kind::changes : store_question::kind::list;
    question.afterKey = m_afterKey;
    question.afterRevision = m_revision;
    question.storeWait = changesWait;
    return question;
}

void store_follower::noteAnswer(time_point now)
{
    if (m_failures > 0) {
        m_settledAt = now + settling;
    }
    m_failures = 0;
}

bool store_follower::onPage(std::uint64_t storeRevision, bool hasMore, const std::string &lastKey, time_point now)
{
    noteAnswer(now);
    if (m_afterKey.empty()) {
        m_listRevision = storeRevision;
    }
    m_afterKey = hasMore ? lastKey : std::string();
    if (hasMore) {
        return false;
    }
    m_hasList = true;
    m_lastCount = 0;
    m_revision = std::max(m_revision, m_listRevision);
    return true;
}

bool store_follower::onChanges(std::uint64_t storeRevision, size_t count, time_point now)
{
    noteAnswer(now);
    m_lastCount = count;
    if (storeRevision < m_revision) {
        return false;
    }
    m_revision = storeRevision;
    return true;
}

bool store_follower::onRelay(std::uint64_t fromRevision, std::uint64_t toRevision, time_point settledAt)
{
    if (fromRevision > m_revision) {
        return false;
    }
    m_revision = std::max(m_revision, toRevision);
    m_settledAt = std::max(m_settledAt, settledAt);
    // The store serves others, so what is missing later is not missing for an outage of this instance alone.
    m_failures = 0;
    return true;
}

bool store_follower::hasList() const
{
    return m_hasList;
}

std::uint64_t store_follower::revision() const
{
    return m_revision;
}

void store_follower::onHistoryGone()
{
    m_hasList = false;
    m_afterKey.clear();
}

void store_follower::onFailure()
{
    ++m_failures;
    m_afterKey.clear();
}

bool store_follower::isReachable() const
{
    return m_failures == 0;
}

time_point store_follower::settledAt() const
{
    return m_settledAt;
}

} // namespace mustardtrail::gateway

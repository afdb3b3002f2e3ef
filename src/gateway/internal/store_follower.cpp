#include "gateway/store_follower.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr std::chrono::milliseconds firstRetry{ 100 };
constexpr std::chrono::milliseconds longestRetry{ 800 }; // Back within a second of the store's return.

} // namespace

store_question store_follower::next() const
{
    store_question question;
    if (m_failures > 0) {
        question.pauseBefore = std::min(longestRetry, firstRetry * (1 << std::min(m_failures - 1, 4U)));
    } else if (m_hasList && m_lastCount > 0) {
        question.pauseBefore = batchPause;
    }
    question.what = m_hasList ? store_question::kind::changes : store_question::kind::list;
    question.afterKey = m_afterKey;
    question.afterRevision = m_revision;
    question.storeWait = changesWait;
    return question;
}

bool store_follower::onPage(std::uint64_t storeRevision, bool hasMore, const std::string &lastKey)
{
    m_failures = 0;
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

bool store_follower::onChanges(std::uint64_t storeRevision, size_t count)
{
    m_failures = 0;
    m_lastCount = count;
    if (storeRevision < m_revision) {
        return false;
    }
    m_revision = storeRevision;
    return true;
}

void store_follower::onHistoryGone()
{
    m_failures = 0;
    m_hasList = false;
    m_afterKey.clear();
}

void store_follower::onFailure(time_point now)
{
    ++m_failures;
    m_lastFailure = now;
    m_afterKey.clear();
}

bool store_follower::isReachable() const
{
    return m_failures == 0;
}

bool store_follower::isSettling(time_point now) const
{
    return m_lastFailure && now - *m_lastFailure < settling;
}

} // namespace mustardtrail::gateway

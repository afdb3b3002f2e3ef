#include "placement/slow_start.h"

#include <algorithm>

namespace mustardtrail::placement
{

namespace
{

/// Completions required after a reset before the limit may grow.
constexpr int completionsBeforeGrowth = 4;

} // namespace

std::string_view toString(reset_reason reason)
{
    switch (reason) {
    case reset_reason::started:
        return "started";
    case reset_reason::new_incarnation:
        return "new_incarnation";
    case reset_reason::reported_cold:
        return "reported_cold";
    case reset_reason::cache_lost:
        return "cache_lost";
    case reset_reason::slow_first_token:
        return "slow_first_token";
    case reset_reason::failed_attempt:
        return "failed_attempt";
    }
    return "unknown";
}

slow_start::slow_start(int coldRequests, int warmRequests, bool needsWarmReport)
    : m_cold(coldRequests)
    , m_warm(std::max(coldRequests, warmRequests))
    , m_limit(coldRequests)
    , m_needsWarmReport(needsWarmReport)
{
}

int slow_start::limit() const
{
    return m_limit;
}

int slow_start::coldLimit() const
{
    return m_cold;
}

bool slow_start::isWarm() const
{
    return m_limit >= m_warm;
}

reset_reason slow_start::lastResetReason() const
{
    return m_lastReset;
}

void slow_start::setBounds(int coldRequests, int warmRequests)
{
    m_cold = coldRequests;
    m_warm = std::max(coldRequests, warmRequests);
    m_limit = std::clamp(m_limit, m_cold, m_warm);
}

void slow_start::onCompletion(bool mayGrow)
{
    ++m_completions;
    // An engine that is still loading also completes requests, so completions alone do not show that it is warm.
    if (!mayGrow || (m_needsWarmReport && !m_warmReported) || m_completions <= completionsBeforeGrowth) {
        return;
    }
    m_limit = std::min(m_warm, m_limit + 1);
}

void slow_start::onReport(const engine_report &report, time_point now)
{
    if (m_incarnation != 0 && report.incarnation != m_incarnation) {
        resetToCold(reset_reason::new_incarnation, now);
    }
    m_incarnation = report.incarnation;
    if (!report.warm) {
        resetToCold(reset_reason::reported_cold, now);
        return;
    }
    // A report taken before the reset does not describe the state after it.
    if (report.takenAt >= m_resetAt) {
        m_warmReported = true;
    }
}

void slow_start::raiseToObserved(int runningRequests)
{
    if (m_warmReported) {
        m_limit = std::clamp(runningRequests, m_limit, m_warm);
    }
}

void slow_start::resetToCold(reset_reason reason, time_point now)
{
    m_limit = m_cold;
    m_completions = 0;
    m_warmReported = false;
    m_resetAt = now;
    m_lastReset = reason;
}

} // namespace mustardtrail::placement

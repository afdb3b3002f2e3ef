#include "placement/slow_start.h"

#include <algorithm>

namespace mustardtrail::placement
{

namespace
{

/// Completions in order, after a fall, before the limit may grow at all.
constexpr int completionsBeforeGrowth = 4;

} // namespace

std::string_view toString(fall_reason reason)
{
    switch (reason) {
    case fall_reason::started:
        return "started";
    case fall_reason::new_incarnation:
        return "new_incarnation";
    case fall_reason::reported_cold:
        return "reported_cold";
    case fall_reason::cache_lost:
        return "cache_lost";
    case fall_reason::slow_first_token:
        return "slow_first_token";
    case fall_reason::failed_attempt:
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

fall_reason slow_start::lastFall() const
{
    return m_lastFall;
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
    // An engine that is still loading completes requests as well, so completions alone are no proof.
    if (!mayGrow || (m_needsWarmReport && !m_warmReported) || m_completions <= completionsBeforeGrowth) {
        return;
    }
    m_limit = std::min(m_warm, m_limit + 1);
}

void slow_start::onReport(const engine_report &report, time_point now)
{
    if (m_incarnation != 0 && report.incarnation != m_incarnation) {
        fall(fall_reason::new_incarnation, now);
    }
    m_incarnation = report.incarnation;
    if (!report.warm) {
        fall(fall_reason::reported_cold, now);
        return;
    }
    // A report taken before the fall tells nothing about the state after it.
    if (report.takenAt >= m_fellAt) {
        m_warmReported = true;
    }
}

void slow_start::adopt(int runningRequests)
{
    if (m_warmReported) {
        m_limit = std::clamp(runningRequests, m_limit, m_warm);
    }
}

void slow_start::fall(fall_reason reason, time_point now)
{
    m_limit = m_cold;
    m_completions = 0;
    m_warmReported = false;
    m_fellAt = now;
    m_lastFall = reason;
}

} // namespace mustardtrail::placement

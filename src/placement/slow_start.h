#pragma once

#include "base/clock.h"
#include "placement/engine_report.h"

#include <cstdint>
#include <string_view>

namespace mustardtrail::placement
{

enum class fall_reason {
    started, ///< Nothing is known of the backend server yet.
    new_incarnation,
    reported_cold,
    cache_lost,
    slow_first_token,
    failed_attempt,
};

std::string_view toString(fall_reason reason);

/// Limit of requests at once on one backend server; grows on completions, falls at once.
class slow_start
{
public:
    slow_start(int coldRequests, int warmRequests, bool needsWarmReport);

    int limit() const;
    int coldLimit() const;
    bool isWarm() const;
    fall_reason lastFall() const;

    /// New bounds from the configuration.
    void setBounds(int coldRequests, int warmRequests);
    /// A request ended in order and its first token came in time; mayGrow is false on a stale report.
    void onCompletion(bool mayGrow);
    void onReport(const engine_report &report, time_point now);
    /// The backend server was seen running this many requests well under another owner.
    void adopt(int runningRequests);
    void fall(fall_reason reason, time_point now);

private:
    int m_cold;
    int m_warm;
    int m_limit;
    int m_completions = 0;
    bool m_needsWarmReport;
    bool m_warmReported = false;
    std::uint64_t m_incarnation = 0;
    time_point m_fellAt{};
    fall_reason m_lastFall = fall_reason::started;
};

} // namespace mustardtrail::placement

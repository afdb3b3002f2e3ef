#pragma once

#include "base/clock.h"
#include "placement/engine_report.h"

#include <cstdint>
#include <string_view>

namespace mustardtrail::placement
{

enum class reset_reason {
    started, ///< Initial state: a backend server is assumed to be cold.
    new_incarnation,
    reported_cold,
    cache_lost,
    slow_first_token,
    failed_attempt,
};

std::string_view toString(reset_reason reason);

/// Limit of concurrent requests on one backend server. Grows with completions and is reset to the cold limit on a fault.
class slow_start
{
public:
    slow_start(int coldRequests, int warmRequests, bool needsWarmReport);

    int limit() const;
    int coldLimit() const;
    bool isWarm() const;
    reset_reason lastResetReason() const;

    /// Sets the cold and warm limits from the configuration.
    void setBounds(int coldRequests, int warmRequests);
    /// A request completed and its first token was on time. Set mayGrow to false when the last report is stale.
    void onCompletion(bool mayGrow);
    void onReport(const engine_report &report, time_point now);
    /// Raises the limit to the number of requests that a warm backend server was reported to run under another owner.
    void raiseToObserved(int runningRequests);
    void resetToCold(reset_reason reason, time_point now);

private:
    int m_cold;
    int m_warm;
    int m_limit;
    int m_completions = 0;
    bool m_needsWarmReport;
    bool m_warmReported = false;
    std::uint64_t m_incarnation = 0;
    time_point m_resetAt{};
    reset_reason m_lastReset = reset_reason::started;
};

} // namespace mustardtrail::placement

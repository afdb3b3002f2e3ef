#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "placement/length_class.h"

#include <array>
#include <chrono>
#include <vector>

namespace mustardtrail::placement
{

/// Estimates the prompt tokens that an engine still has to prefill, by priority, and its prefill rate.
/// Between observations the backlog is assumed to drain in order of priority at the estimated rate.
class prefill_backlog
{
public:
    explicit prefill_backlog(double tokensPerSecond, bool countLongArrivals = true);

    void add(const attempt_id &attempt, int priority, token_count promptTokens, time_point now);
    /// The first token was received: the whole prompt is prefilled.
    void complete(const attempt_id &attempt, time_point now);
    /// The attempt ended before its first token.
    void remove(const attempt_id &attempt, time_point now);
    /// Sets the initial rate and the bounds of later estimates.
    void setReportedRate(double tokensPerSecond);
    /// Corrects the estimate by the engine's own count of queued tokens at takenAt; prompts sent since then are added to it.
    void setReportedTokens(double tokens, time_point takenAt, time_point now);

    double tokensPerSecond() const;
    double tokensAhead(int priority, time_point now);
    double tokensTotal(time_point now);
    int longPromptCount() const;
    /// Share of the rate that more urgent work leaves to this priority.
    double shareLeft(int priority, time_point now) const;
    /// Predicted time to first token of a prompt sent now.
    std::chrono::nanoseconds predict(int priority, token_count promptTokens, time_point now);

private:
    struct entry {
        attempt_id attempt;
        int priority = 0;
        token_count promptTokens = 0;
        double remaining = 0;
        time_point sentAt{};
    };

    void advance(time_point now);
    void decayArrivals(time_point now);
    double arrivalFactor(time_point now) const;
    void updateRate();

    std::vector<entry> m_entries; ///< Sorted by priority, then by send time.
    std::array<double, leastUrgentPriority + 1> m_arrivals{}; ///< Tokens a second by priority, decayed to m_arrivalsAt.
    time_point m_arrivalsAt{};
    time_point m_advancedAt{};
    bool m_countLongArrivals;
    double m_rate;
    double m_reportedRate;
    double m_foreign = 0; ///< Tokens reported by the engine beyond those sent by this owner.
    double m_observedTokens = 0; ///< Prefilled tokens, decayed; without partly prefilled prompts.
    double m_observedBusy = 0; ///< Seconds with prompts to prefill, decayed at the same rate.
};

} // namespace mustardtrail::placement

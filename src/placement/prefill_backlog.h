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

/// Estimate of the prompt tokens that an engine still has to process, by priority, and of its rate.
/// Between observations it lets the engine work through them in order of priority.
class prefill_backlog
{
public:
    explicit prefill_backlog(double tokensPerSecond, bool longTakesShare = true);

    void add(const attempt_id &attempt, int priority, token_count promptTokens, time_point now);
    /// The first token came: all of the prompt is processed.
    void complete(const attempt_id &attempt, time_point now);
    /// The attempt ended before its first token.
    void remove(const attempt_id &attempt, time_point now);
    /// Start value of the rate, and the bounds for what is learned.
    void setReportedRate(double tokensPerSecond);
    /// Queued tokens by the engine's own count at a past time; what was sent since then counts on top.
    void setReportedTokens(double tokens, time_point takenAt, time_point now);

    double tokensPerSecond() const;
    double tokensAhead(int priority, time_point now);
    double tokensTotal(time_point now);
    int longPrompts() const;
    /// Part of the rate that is left below more urgent work.
    double shareLeft(int priority, time_point now) const;
    /// Time until the first token of a prompt that would be sent now.
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
    void learn();

    std::vector<entry> m_entries; ///< Sorted by priority, then by time of sending.
    std::array<double, leastUrgentPriority + 1> m_arrivals{}; ///< Tokens a second by priority, decayed to m_arrivalsAt.
    time_point m_arrivalsAt{};
    time_point m_advancedAt{};
    bool m_longTakesShare;
    double m_rate;
    double m_reportedRate;
    double m_foreign = 0; ///< Tokens that the engine reports beyond those sent from here.
    double m_observedTokens = 0; ///< Processed, decayed; without prompts that are half done.
    double m_observedBusy = 0; ///< Seconds with prompts to process, decayed alike.
};

} // namespace mustardtrail::placement

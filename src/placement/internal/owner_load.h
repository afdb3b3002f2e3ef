#pragma once

#include "placement/owner_summary.h"
#include "placement/work_item.h"

#include <chrono>
#include <deque>
#include <optional>

namespace mustardtrail::placement
{

/// An origin's estimate of one owner's load in one pool: the last summary plus the attempts sent there since it was taken.
class owner_load
{
public:
    void onSummary(const pool_summary &summary, time_point takenAt);
    void onSent(const work_item &work, int priority, time_point now);
    /// Backend servers that accept new work were added to the owner, so earlier summaries may overestimate the wait.
    void onServersAdded(time_point now);

    /// A summary was received and is recent enough to be used.
    bool hasFreshSummary(time_point now) const;
    /// Attempts may be refused by the summary: it is fresh and was taken after the last servers were added.
    bool canRefuseBySummary(time_point now) const;
    /// Time to first token predicted from the summary alone.
    std::chrono::nanoseconds predictBySummary(token_count promptTokens, time_point now) const;
    /// Time to first token predicted from the summary and the attempts sent since.
    std::chrono::nanoseconds predict(const work_item &work, int priority, time_point now) const;
    /// False when the free KV memory of the summary, less the attempts sent since, is too small.
    bool hasMemoryFor(const work_item &work, time_point now) const;
    std::optional<time_point> takenAt() const;
    std::size_t sentSinceSummary() const;

private:
    struct sent_work {
        time_point at{};
        int priority = 0;
        token_count promptTokens = 0;
        token_count memoryTokens = 0;
    };

    bool isCurrent() const;
    bool takesNoWork() const;
    double rate() const;
    void dropSentBefore(time_point from);

    std::optional<time_point> m_takenAt;
    std::optional<time_point> m_serversAddedAt;
    pool_summary m_summary;
    std::deque<sent_work> m_sent;
};

} // namespace mustardtrail::placement

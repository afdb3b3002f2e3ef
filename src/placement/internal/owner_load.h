#pragma once

#include "placement/owner_summary.h"
#include "placement/work_item.h"

#include <chrono>
#include <deque>
#include <optional>

namespace mustardtrail::placement
{

/// What an origin knows of one owner's load in one pool: the last summary and own sends since it was taken.
class owner_load
{
public:
    void onSummary(const pool_summary &summary, time_point takenAt);
    void onSent(const work_item &work, int priority, time_point now);
    /// The owner has more servers that take new work than it had: what it said before may ask for too long a wait.
    void onServersAdded(time_point now);

    /// A summary is there and recent enough to be used.
    bool isKnown(time_point now) const;
    /// A summary is there that may be refused by: it was taken after the last servers were added.
    bool mayRefuse(time_point now) const;
    /// First token by the summary alone.
    std::chrono::nanoseconds predictBySummary(token_count promptTokens, time_point now) const;
    /// First token with own sends since the summary on top.
    std::chrono::nanoseconds predict(const work_item &work, int priority, time_point now) const;
    /// False when the summary and own sends say that the KV memory is taken.
    bool hasMemoryFor(const work_item &work, time_point now) const;
    std::optional<time_point> takenAt() const;
    std::size_t sentSince() const;

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
    void forgetSentBefore(time_point from);

    std::optional<time_point> m_takenAt;
    std::optional<time_point> m_serversAddedAt;
    pool_summary m_summary;
    std::deque<sent_work> m_sent;
};

} // namespace mustardtrail::placement

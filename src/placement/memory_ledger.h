#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "placement/engine_report.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardtrail::placement
{

/// Tracks the KV memory of one engine: this owner's attempts, memory held for groups, and foreign use seen in reports.
/// A group is one prompt that is processed by several engines.
class memory_ledger
{
public:
    void setCapacity(token_count tokens);
    void start(const attempt_id &attempt, token_count tokens);
    void end(const attempt_id &attempt, time_point now);

    /// Holds memory for a group until the given time, or changes its hold. Returns false, without effect, when it does not fit.
    bool hold(const std::string &group, token_count tokens, time_point until, time_point now);
    void release(const std::string &group);
    bool holds(const std::string &group) const;
    /// Number of groups that hold memory; each runs at most one request at a time on the engine.
    int heldGroups() const;
    /// Removes expired holds.
    void expire(time_point now);
    /// Earliest expiry of a hold; time_point::max() if there is none.
    time_point nextExpiry() const;

    void applyReport(const engine_report &report);

    token_count capacity() const;
    token_count free() const;
    token_count heldForGroups() const;
    token_count foreignTokens() const;
    int foreignRequests() const;
    /// Attempts that ended here well before the last report was taken, but that the report still lists.
    const std::vector<attempt_id> &orphans() const;

private:
    struct group_hold {
        token_count tokens = 0;
        time_point from{};
        time_point until{};
    };

    bool endedBefore(const attempt_id &attempt, time_point takenAt) const;
    void forgetEnded(time_point now);

    token_count m_capacity = 0;
    token_count m_ownTokens = 0;
    token_count m_heldTokens = 0;
    token_count m_foreignTokens = 0;
    int m_foreignRequests = 0;
    std::unordered_map<attempt_id, token_count> m_own;
    std::unordered_map<attempt_id, time_point> m_ended;
    std::map<std::string, group_hold> m_holds;
    std::vector<attempt_id> m_orphans;
};

} // namespace mustardtrail::placement

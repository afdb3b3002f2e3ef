#pragma once

#include "config/backend_server.h"
#include "membership/fleet_view.h"
#include "placement/memory_ledger.h"
#include "placement/placement_options.h"
#include "placement/prefill_backlog.h"
#include "placement/prefix_estimate.h"
#include "placement/slow_start.h"

#include "placement/internal/memory_claim.h"
#include "placement/internal/running_attempt.h"

#include <chrono>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mustardtrail::placement
{

/// The owner's state of one backend server: its limits, memory, backlog and running attempts.
class backend_state
{
public:
    backend_state(const config::backend_server &server, const placement_options &options);

    void configure(const config::backend_server &server, const membership::backend_assignment &assignment, bool isolated);
    void disown();

    const backend_server_id &id() const
    {
        return m_server.id;
    }
    bool owned() const
    {
        return m_owned;
    }
    bool takesNewWork() const
    {
        return m_owned && m_assignment.acceptsNewWork && !hasNewerOwner();
    }
    /// A report showed a higher fencing number than this owner's: another owner has taken over.
    bool hasNewerOwner() const
    {
        return m_highestFencingNumber > m_assignment.fencingNumber;
    }
    std::uint64_t fencingNumber() const
    {
        return m_assignment.fencingNumber;
    }
    bool isEngine() const
    {
        return m_server.kind == config::backend_server_kind::engine;
    }

    int limit(time_point now) const;
    int outstanding() const;
    int freeSlots(time_point now) const;
    bool hasSlotFor(const work_item &work, time_point now) const;
    bool hasMemoryFor(const work_item &work) const;
    /// Memory that prompts of this length class may use now.
    token_count spareTokens(const work_item &work) const;
    /// Claims memory for a queued attempt: other medium and long prompts may not use it.
    void claim(const work_item &work);
    void unclaim();
    const std::optional<memory_claim> &claimed() const
    {
        return m_claim;
    }
    /// The prefill backlog at the engine is short enough to send more.
    bool hasBacklogRoomFor(const work_item &work, int priority, time_point now);
    bool fitsAtAll(const work_item &work) const;
    /// Predicted time to first token of an attempt sent now.
    std::chrono::nanoseconds predict(const work_item &work, int priority, time_point now);

    void recordSend(const work_item &work, int priority, time_point now);
    void firstToken(const attempt_id &attempt, time_point now);
    void output(const attempt_id &attempt, token_count tokens);
    void cancelled(const attempt_id &attempt, time_point now);
    /// Attempts that were cancelled well before the report was taken and that it no longer lists.
    std::vector<attempt_id> endedAfterCancel(const engine_report &report) const;
    /// Ends an attempt; a reason resets the limit to the cold one, unless the attempt was cancelled.
    std::optional<running_attempt> end(const attempt_id &attempt, std::optional<reset_reason> reason, time_point now);
    void applyReport(const engine_report &report, time_point now);
    void applyCacheEvent(const cache_event &event, time_point now);
    /// Resets the limit to the cold one when a first token is overdue.
    void detectLateFirstTokens(time_point now);

    memory_ledger &memory()
    {
        return m_memory;
    }
    const memory_ledger &memory() const
    {
        return m_memory;
    }
    prefill_backlog &backlog()
    {
        return m_backlog;
    }
    const prefix_estimate &prefixes() const
    {
        return m_prefixes;
    }
    const slow_start &slowStart() const
    {
        return m_slowStart;
    }
    const std::unordered_map<attempt_id, running_attempt> &running() const
    {
        return m_running;
    }
    std::optional<time_point> reportTakenAt() const
    {
        return m_reportTakenAt;
    }
    int longRunning() const
    {
        return m_longRunning;
    }
    token_count longTokens() const
    {
        return m_longTokens;
    }

private:
    double reserveFraction(const work_item &work) const;
    bool reportIsStale(time_point now) const;
    bool mustStayCold(time_point now) const;
    bool isLate(const running_attempt &attempt, time_point now) const;
    void delayLessUrgent(int priority, token_count promptTokens);

    const placement_options &m_options;
    config::backend_server m_server;
    membership::backend_assignment m_assignment;
    bool m_owned = false;
    bool m_isolated = false;
    std::uint64_t m_highestFencingNumber = 0;
    std::optional<time_point> m_reportTakenAt;
    slow_start m_slowStart;
    prefill_backlog m_backlog;
    memory_ledger m_memory;
    prefix_estimate m_prefixes;
    std::unordered_map<attempt_id, running_attempt> m_running;
    std::optional<memory_claim> m_claim;
    token_count m_longTokens = 0;
    int m_longRunning = 0;
};

/// Maximum KV memory of an attempt.
token_count memoryNeed(const work_item &work);

} // namespace mustardtrail::placement

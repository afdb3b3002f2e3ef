#include "group/internal/group_run.h"

#include <algorithm>

namespace mustardtrail::group
{

time_point group_run::leaseEnd(const group_member &member) const
{
    // Once the engine itself holds the memory, its lease is the one that counts.
    const auto from = member.reservedAt ? member.reservedAt : member.grantedAt;
    return from.value_or(time_point{}) + m_context.options.reservationLease;
}

void group_run::onTick(time_point now)
{
    if (m_phase == phase::ended) {
        return;
    }
    if (now >= m_start.work.deadline) {
        fail({ error_code::deadline_exceeded, m_promptSent ? verdict::may_have_run : verdict::not_run, "stage=run", std::nullopt }, now);
        return;
    }
    checkLeases(now);
    if (m_phase == phase::ended) {
        return;
    }
    renewLeases(now);
    if (now >= m_wakeAt) {
        onTimeout(now);
    }
}

void group_run::checkLeases(time_point now)
{
    if (m_phase != phase::reserving_at_engines && m_phase != phase::chaining) {
        return;
    }
    const bool lapsed = std::any_of(m_members.begin(), m_members.end(), [&](const group_member &one) {
        return leaseEnd(one) <= now;
    });
    if (lapsed) {
        const verdict outcome = m_promptSent ? verdict::may_have_run : verdict::not_run;
        restart({ error_code::backend_timeout, outcome, "reason=lease_ended", std::nullopt }, now);
    }
}

void group_run::renewLeases(time_point now)
{
    for (group_member &member : m_members) {
        if (!member.grantedAt || member.renewAt > now) {
            continue;
        }
        member.renewAt = now + m_context.options.renewInterval;
        askOwner(member, now);
        if (member.reservedAt) {
            reserveAtEngine(member, now);
        }
    }
}

void group_run::onTimeout(time_point now)
{
    switch (m_phase) {
    case phase::waiting:
        resume(now);
        return;
    case phase::reserving:
        m_avoided.insert(m_members[m_reserveOrder[m_nextReserve]].part.backend);
        waitForMemory(
            { error_code::peer_connection_lost, verdict::not_run, "stage=reserve", m_context.options.planner.busyRetryAfter }, now);
        return;
    case phase::reserving_at_engines:
        for (const group_member &member : m_members) {
            if (!member.reservedAt) {
                m_avoided.insert(member.part.backend);
            }
        }
        waitForMemory({ error_code::backend_timeout, verdict::not_run, "stage=kv_reserve", m_context.options.planner.busyRetryAfter }, now);
        return;
    case phase::chaining:
        if (m_stepSequence == 0 || mayRepeatStep()) {
            sendStep(now);
            return;
        }
        restartWithout(
            m_members[m_segment].part.backend, { error_code::backend_timeout, verdict::may_have_run, "stage=chain", std::nullopt }, now);
        return;
    case phase::completion_refused:
        startCompletion(now);
        return;
    case phase::completing:
    case phase::ended:
        return;
    }
}

time_point group_run::nextWake() const
{
    time_point earliest = std::min(m_wakeAt, m_start.work.deadline);
    for (const group_member &member : m_members) {
        if (member.grantedAt) {
            earliest = std::min(earliest, member.renewAt);
        }
    }
    return earliest;
}

} // namespace mustardtrail::group

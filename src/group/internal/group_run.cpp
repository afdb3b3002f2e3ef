#include "group/internal/group_run.h"

#include <algorithm>
#include <utility>

namespace mustardtrail::group
{

group_run::group_run(start_group start, run_context &context)
    : m_start(std::move(start))
    , m_context(context)
    , m_key{ group_id(m_start.work.attempt.str()), 1 }
{
}

void group_run::begin(time_point now)
{
    plan(now);
}

void group_run::plan(time_point now)
{
    if (now > latestStart()) {
        fail({ error_code::deadline_exceeded, verdict::not_run, "stage=plan", std::nullopt }, now);
        return;
    }
    if (!m_context.viewConfirmed(now)) {
        m_phase = phase::waiting;
        m_wakeAt = now + m_context.options.confirmInterval;
        return;
    }
    const result<group_plan> chosen = choosePlan();
    if (!chosen) {
        if (chosen.error().code == error_code::group_memory_busy) {
            m_avoided.clear();
            waitForMemory(chosen.error(), now);
        } else {
            fail(chosen.error(), now);
        }
        return;
    }
    for (const segment &part : chosen->segments) {
        m_members.emplace_back().part = part;
        m_reserveOrder.push_back(m_reserveOrder.size());
    }
    if (m_context.options.reserveInOrder) {
        std::sort(m_reserveOrder.begin(), m_reserveOrder.end(), [&](size_t left, size_t right) {
            return m_members[left].part.backend < m_members[right].part.backend;
        });
    }
    m_phase = phase::reserving;
    m_nextReserve = 0;
    askNextOwner(now);
}

result<group_plan> group_run::choosePlan() const
{
    const placement::work_item &work = m_start.work;
    const planner_options &options = m_context.options.planner;
    plan_request request{ work.model, work.promptTokens, work.maxNewTokens, m_avoided };
    auto plan = planGroup(*m_context.view, m_context.freeTokens, request, options);
    if (plan || m_avoided.empty()) {
        return plan;
    }
    request.excluded.clear();
    return planGroup(*m_context.view, m_context.freeTokens, request, options);
}

void group_run::waitForMemory(error refusal, time_point now)
{
    // Keeping some engines while waiting for others is what lets two groups wait for each other.
    if (m_context.options.allOrNothing) {
        nextGeneration(now);
    }
    const auto delay = backoff();
    if (now + delay > latestStart()) {
        fail(std::move(refusal), now);
        return;
    }
    m_phase = phase::waiting;
    m_wakeAt = now + delay;
}

void group_run::resume(time_point now)
{
    if (m_members.empty()) {
        plan(now);
        return;
    }
    if (m_nextReserve == m_reserveOrder.size()) {
        reserveAtEngines(now);
        return;
    }
    m_phase = phase::reserving;
    askNextOwner(now);
}

std::chrono::milliseconds group_run::backoff()
{
    constexpr int doublingLimit = 16;
    const group_options &options = m_context.options;
    const auto grown = options.backoffBase * (std::int64_t{ 1 } << std::min(m_memoryTries++, doublingLimit));
    const auto most = std::min(grown, options.backoffLimit);
    // At least half: the lesser of two groups must not come back before the other has gone on.
    return most / 2 + std::chrono::milliseconds(m_context.random.below(static_cast<std::uint64_t>(most.count()) / 2 + 1));
}

time_point group_run::latestStart() const
{
    const placement::work_item &work = m_start.work;
    time_point latest = work.deadline - m_start.expectedPrefill - m_start.expectedDecode;
    if (work.firstTokenDeadline != time_point{}) {
        latest = std::min(latest, work.firstTokenDeadline - m_start.expectedPrefill);
    }
    return latest;
}

void group_run::askNextOwner(time_point now)
{
    askOwner(m_members[m_reserveOrder[m_nextReserve]], now);
    m_wakeAt = now + m_context.options.ownerTimeout;
}

void group_run::askOwner(group_member &member, time_point now)
{
    const auto assignment = m_context.view->backends.find(member.part.backend);
    if (assignment == m_context.view->backends.end() || assignment->second.owner.empty()) {
        return;
    }
    member.owner = assignment->second.owner;
    member.askedOwners.insert(member.owner);
    member.ownerSequence = ++m_sequence;
    member.ownerAskedAt = now;
    const auto lease = m_context.options.reservationLease;
    m_context.actions.emplace_back(reserve_at_owner{ member.owner,
        { m_key, member.part.backend, member.part.reservedTokens, lease, m_sequence },
        now + m_context.options.ownerTimeout });
}

void group_run::on(const owner_replied &event, time_point now)
{
    group_member *member = memberOf(event.reply.backend);
    if (member == nullptr || event.reply.key != m_key || event.reply.sequence != member->ownerSequence || member->ownerSequence == 0) {
        return;
    }
    member->ownerSequence = 0;
    if (!event.reply.failure) {
        member->grantedAt = member->ownerAskedAt;
        member->fencingNumber = event.reply.fencingNumber;
        member->renewAt = member->ownerAskedAt + m_context.options.renewInterval;
        onGrant(now);
        return;
    }
    if (event.reply.failure->code == error_code::duplicate_attempt) {
        fail(*event.reply.failure, now);
        return;
    }
    // A renewal that is refused changes nothing yet: the engine itself holds the memory under its own lease.
    if (m_phase == phase::reserving) {
        // What is heard of free memory lags: the next plan would choose the same engine again.
        m_avoided.insert(event.reply.backend);
        waitForMemory(*event.reply.failure, now);
    }
}

void group_run::onGrant(time_point now)
{
    if (m_phase != phase::reserving || !m_members[m_reserveOrder[m_nextReserve]].grantedAt) {
        return;
    }
    ++m_nextReserve;
    if (m_nextReserve < m_reserveOrder.size()) {
        askNextOwner(now);
        return;
    }
    reserveAtEngines(now);
}

void group_run::restartWithout(const backend_server_id &backend, const error &failure, time_point now)
{
    m_avoided.insert(backend);
    restart(failure, now);
}

void group_run::restart(const error &failure, time_point now)
{
    if (!mayRestart(now)) {
        fail(failure, now);
        return;
    }
    ++m_restarts;
    nextGeneration(now);
    plan(now);
}

bool group_run::mayRestart(time_point now) const
{
    const bool repeatable = m_start.work.repeatable || !m_promptSent;
    return m_phase != phase::completing && repeatable && m_restarts < m_context.options.restarts && now <= latestStart();
}

void group_run::fail(error failure, time_point now)
{
    if (m_phase == phase::completing) {
        cancelCompletion();
    }
    if (m_promptSent && failure.outcome == verdict::not_run) {
        failure.outcome = verdict::may_have_run;
    }
    m_context.actions.emplace_back(fail_group{ m_start.work.attempt, std::move(failure) });
    releaseMembers(now);
    m_phase = phase::ended;
}

void group_run::nextGeneration(time_point now)
{
    if (!m_members.empty()) {
        releaseMembers(now);
        ++m_key.generation;
    }
}

void group_run::releaseMembers(time_point now)
{
    if (m_context.options.releaseOnEnd) {
        for (const group_member &member : m_members) {
            m_context.releases.add(m_key, member.part.backend, member.askedOwners, member.calledEngine);
        }
        // Before the next generation's reservations: they may want the same memory.
        m_context.releases.flush(m_context.options, now, m_context.actions);
    }
    m_members.clear();
    m_reserveOrder.clear();
    m_stepSequence = 0;
    m_digest.clear();
    m_ticket.clear();
}

void group_run::on(const engine_lost &event, time_point now)
{
    group_member *member = memberOf(event.backend);
    if (member == nullptr) {
        return;
    }
    member->calledEngine = false;
    const verdict outcome = m_promptSent ? verdict::may_have_run : verdict::not_run;
    restartWithout(event.backend, { error_code::backend_connection_lost, outcome, "backend=" + event.backend.str(), std::nullopt }, now);
}

void group_run::on(const view_changed & /*event*/, time_point now)
{
    for (group_member &member : m_members) {
        const auto assignment = m_context.view->backends.find(member.part.backend);
        const bool moved = assignment != m_context.view->backends.end() && !member.owner.empty() && !assignment->second.owner.empty()
            && assignment->second.owner != member.owner;
        if (moved) {
            askOwner(member, now);
        }
    }
    if (m_phase == phase::chaining && m_stepSequence == 0) {
        sendStep(now);
    }
}

void group_run::cancel(time_point now)
{
    if (m_phase == phase::completing) {
        cancelCompletion();
    }
    releaseMembers(now);
    m_phase = phase::ended;
}

bool group_run::ended() const
{
    return m_phase == phase::ended;
}

const group_key &group_run::key() const
{
    return m_key;
}

group_member *group_run::memberOf(const backend_server_id &backend)
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const group_member &member) {
        return member.part.backend == backend;
    });
    return found == m_members.end() ? nullptr : &*found;
}

} // namespace mustardtrail::group

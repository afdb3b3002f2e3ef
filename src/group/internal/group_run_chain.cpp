#include "group/internal/group_run.h"

#include <algorithm>
#include <utility>

namespace mustardtrail::group
{

engine_call group_run::callTo(group_member &member, kv_step step, time_point deadline)
{
    member.calledEngine = true;
    // A process that slept past its lease must not work on memory that may be another group's.
    const time_point viewEnd = m_context.view->confirmedAt + membership::viewLease;
    // Renewing what an engine holds already is no new work, so a lost view does not end a running group.
    const bool renewal = member.reservedAt && step == kv_step::reserve;
    const time_point notAfter = renewal ? leaseEnd(member) : std::min(viewEnd, leaseEnd(member));
    return { m_key, member.part.backend, ++m_sequence, member.fencingNumber, deadline, notAfter };
}

void group_run::reserveAtEngines(time_point now)
{
    m_phase = phase::reserving_at_engines;
    m_wakeAt = now + m_context.options.engineTimeout;
    for (group_member &member : m_members) {
        reserveAtEngine(member, now);
    }
}

void group_run::reserveAtEngine(group_member &member, time_point now)
{
    const engine_call call = callTo(member, kv_step::reserve, now + m_context.options.engineTimeout);
    member.engineSequence = call.sequence;
    member.engineAskedAt = now;
    m_context.actions.emplace_back(kv_reserve{ call, member.part.reservedTokens, m_context.options.reservationLease });
}

void group_run::on(const engine_replied &event, time_point now)
{
    group_member *member = memberOf(event.backend);
    if (member == nullptr || event.key != m_key || event.sequence == 0) {
        return;
    }
    if (event.step == kv_step::reserve && event.sequence == member->engineSequence) {
        member->engineSequence = 0;
        onEngineReserved(event, *member, now);
        return;
    }
    if (m_phase != phase::chaining || event.sequence != m_stepSequence || event.step != m_step) {
        return;
    }
    m_stepSequence = 0;
    if (event.failure) {
        onStepFailed(event, now);
        return;
    }
    nextStep(event, now);
}

void group_run::onEngineReserved(const engine_replied &event, group_member &member, time_point now)
{
    if (!event.failure) {
        member.reservedAt = member.engineAskedAt;
    }
    if (m_phase != phase::reserving_at_engines) {
        return;
    }
    if (event.failure) {
        // No engine has seen the prompt, so this costs no restart.
        m_avoided.insert(event.backend);
        waitForMemory(*event.failure, now);
        return;
    }
    if (!std::all_of(m_members.begin(), m_members.end(), [](const group_member &one) {
            return one.reservedAt.has_value();
        })) {
        return;
    }
    m_phase = phase::chaining;
    m_segment = 0;
    m_step = kv_step::prefill;
    sendStep(now);
}

void group_run::sendStep(time_point now)
{
    m_stepSequence = 0;
    m_wakeAt = now + m_context.options.confirmInterval;
    if (!m_context.viewConfirmed(now)) {
        return;
    }
    group_member &member = m_members[m_segment];
    const time_point deadline = stepDeadline(now);
    const auto lease = m_context.options.reservationLease;
    const engine_call call = callTo(member, m_step, deadline);
    m_stepSequence = call.sequence;
    m_wakeAt = deadline;
    if (m_step == kv_step::attach) {
        m_context.actions.emplace_back(kv_import{ call, m_ticket, m_digest, lease });
    } else if (m_step == kv_step::publish) {
        m_context.actions.emplace_back(kv_export{ call });
    } else {
        m_promptSent = true;
        m_context.actions.emplace_back(kv_prefill{ call,
            static_cast<int>(m_segment),
            static_cast<int>(m_members.size()),
            member.part.firstToken,
            member.part.tokens,
            m_digest,
            lease });
    }
}

time_point group_run::stepDeadline(time_point now) const
{
    if (m_step != kv_step::prefill) {
        return now + m_context.options.engineTimeout;
    }
    // Giving a slow engine up helps only while the prompt may go to others.
    const std::int64_t tokens = m_members[m_segment].part.tokens;
    const auto expected = m_start.expectedPrefill * tokens / m_start.work.promptTokens;
    const auto patience = m_context.options.engineTimeout + expected * m_context.options.prefillPatience;
    const bool mayGoElsewhere = m_start.work.repeatable && m_restarts < m_context.options.restarts && expected.count() > 0;
    return mayGoElsewhere ? std::min(now + patience, m_start.work.deadline) : m_start.work.deadline;
}

void group_run::nextStep(const engine_replied &event, time_point now)
{
    m_stepRepeats = 0;
    if (m_step == kv_step::attach) {
        m_step = kv_step::prefill;
        sendStep(now);
        return;
    }
    if (m_step == kv_step::publish) {
        m_ticket = event.ticket;
        m_step = kv_step::attach;
        ++m_segment;
        sendStep(now);
        return;
    }
    m_digest = event.digest;
    if (m_segment + 1 < m_members.size()) {
        m_step = kv_step::publish;
        sendStep(now);
        return;
    }
    startCompletion(now);
}

void group_run::onStepFailed(const engine_replied &event, time_point now)
{
    // The host held the call back: nothing was sent, and the step is repeated under a confirmed view.
    if (event.failure->code == error_code::view_not_confirmed && event.failure->outcome == verdict::not_run) {
        m_wakeAt = now + m_context.options.confirmInterval;
        return;
    }
    const bool lost = event.failure->code == error_code::backend_timeout || event.failure->code == error_code::backend_connection_lost;
    if (lost && mayRepeatStep()) {
        sendStep(now);
        return;
    }
    restartWithout(event.backend, *event.failure, now);
}

bool group_run::mayRepeatStep()
{
    // Export and import are idempotent; a prefill that was lost may still be running.
    constexpr int repeats = 2;
    return m_step != kv_step::prefill && m_stepRepeats++ < repeats;
}

void group_run::startCompletion(time_point now)
{
    if (!m_context.viewConfirmed(now)) {
        m_phase = phase::completion_refused;
        m_wakeAt = now + m_context.options.confirmInterval;
        return;
    }
    group_member &last = m_members.back();
    m_phase = phase::completing;
    m_wakeAt = m_start.work.deadline;
    const engine_call call = callTo(last, kv_step::prefill, m_start.work.deadline);
    m_context.actions.emplace_back(start_completion{ m_start.work, last.owner, call, m_digest });
}

void group_run::cancelCompletion()
{
    const group_member &last = m_members.back();
    m_context.actions.emplace_back(cancel_completion{ m_start.work.attempt, last.owner, last.part.backend });
}

void group_run::on(const completion_delivered & /*event*/, time_point /*now*/)
{
    m_delivered = true;
}

void group_run::on(const completion_finished & /*event*/, time_point now)
{
    if (m_phase != phase::completing) {
        return;
    }
    releaseMembers(now);
    m_phase = phase::ended;
}

void group_run::on(const completion_failed &event, time_point now)
{
    if (m_phase != phase::completing) {
        return;
    }
    m_phase = phase::completion_refused;
    const auto wait = std::max(event.failure.retryAfter.value_or(std::chrono::milliseconds(0)), backoff());
    const bool mayRepeat = event.failure.outcome == verdict::not_run && event.failure.code != error_code::duplicate_attempt;
    if (!mayRepeat || now + wait + m_start.expectedDecode > m_start.work.deadline) {
        fail(event.failure, now);
        return;
    }
    m_wakeAt = now + wait;
}

} // namespace mustardtrail::group

#include "placement/internal/backend_state.h"

#include <algorithm>

namespace mustardtrail::placement
{

namespace
{

/// A first token is late when it takes longer than this many times the prediction plus the slack.
constexpr int lateFactor = 3;
constexpr std::chrono::milliseconds lateSlack{ 300 };
/// Reports may list a stream for this long after it was cancelled.
constexpr std::chrono::seconds cancelGrace{ 2 };

} // namespace

token_count memoryNeed(const work_item &work)
{
    return work.promptTokens + work.maxNewTokens;
}

backend_state::backend_state(const config::backend_server &server, const placement_options &options)
    : m_options(options)
    , m_server(server)
    , m_slowStart(server.coldRequests, server.warmRequests, server.kind == config::backend_server_kind::engine)
    , m_backlog(0, options.countLongArrivals)
{
    m_memory.setCapacity(server.memoryTokens);
}

void backend_state::configure(const config::backend_server &server, const membership::backend_assignment &assignment, bool isolated)
{
    if (server.memoryTokens != m_server.memoryTokens) {
        m_memory.setCapacity(server.memoryTokens);
    }
    m_server = server;
    m_assignment = assignment;
    m_isolated = isolated;
    m_owned = true;
    m_slowStart.setBounds(server.coldRequests, server.warmRequests);
}

void backend_state::disown()
{
    m_owned = false;
}

int backend_state::limit(time_point now) const
{
    return mustStayCold(now) ? std::min(m_slowStart.limit(), m_slowStart.coldLimit()) : m_slowStart.limit();
}

int backend_state::outstanding() const
{
    return static_cast<int>(m_running.size()) + m_memory.foreignRequests();
}

int backend_state::freeSlots(time_point now) const
{
    // The prefill of a group's segment and the completion of a group also occupy a request slot of the engine.
    return std::max(0, limit(now) - outstanding() - m_memory.heldGroups());
}

bool backend_state::hasSlotFor(const work_item &work, time_point now) const
{
    const int free = freeSlots(now);
    // On a warm engine a long prompt leaves the last slot free for a shorter request.
    const bool leavesLastSlot = lengthClassOf(work.promptTokens) == length_class::long_prompt && limit(now) > m_slowStart.coldLimit();
    return free > (leavesLastSlot ? 1 : 0);
}

bool backend_state::hasMemoryFor(const work_item &work) const
{
    if (!isEngine()) {
        return true;
    }
    // The reserve is reduced for a prompt that otherwise would not fit even on an idle engine.
    const auto wanted = static_cast<token_count>(reserveFraction(work) * static_cast<double>(m_memory.capacity()));
    const token_count reserve = std::min(wanted, m_memory.capacity() - memoryNeed(work));
    const bool isShort = lengthClassOf(work.promptTokens) == length_class::short_prompt;
    const token_count claimedByOther = m_claim && !isShort && m_claim->attempt != work.attempt ? m_claim->tokens : 0;
    return memoryNeed(work) + reserve + claimedByOther <= m_memory.free();
}

double backend_state::reserveFraction(const work_item &work) const
{
    switch (lengthClassOf(work.promptTokens)) {
    case length_class::short_prompt:
        return 0;
    case length_class::medium_prompt:
        return m_options.mediumReserveFraction;
    case length_class::long_prompt:
        return m_options.longReserveFraction;
    }
    return 0;
}

token_count backend_state::spareTokens(const work_item &work) const
{
    const auto reserve = static_cast<token_count>(reserveFraction(work) * static_cast<double>(m_memory.capacity()));
    const token_count claimed = m_claim ? m_claim->tokens : 0;
    return std::max<token_count>(0, m_memory.free() - reserve - claimed);
}

void backend_state::claim(const work_item &work)
{
    m_claim = memory_claim{ work.attempt, memoryNeed(work) };
}

void backend_state::unclaim()
{
    m_claim.reset();
}

bool backend_state::hasBacklogRoomFor(const work_item &work, int priority, time_point now)
{
    if (!isEngine()) {
        return true;
    }
    const bool isLong = lengthClassOf(work.promptTokens) == length_class::long_prompt;
    if (isLong && m_backlog.longPromptCount() >= m_options.maxLongPrefills) {
        return false;
    }
    if (m_claim && m_claim->attempt == work.attempt) {
        return true;
    }
    const std::chrono::duration<double> ahead{ m_backlog.tokensAhead(priority, now) / m_backlog.tokensPerSecond() };
    return ahead <= m_options.engineBacklog;
}

bool backend_state::fitsAtAll(const work_item &work) const
{
    return !isEngine() || memoryNeed(work) <= m_memory.capacity();
}

std::chrono::nanoseconds backend_state::predict(const work_item &work, int priority, time_point now)
{
    return isEngine() ? m_backlog.predict(priority, work.promptTokens, now) : std::chrono::nanoseconds(0);
}

void backend_state::recordSend(const work_item &work, int priority, time_point now)
{
    running_attempt attempt;
    attempt.work = work;
    attempt.priority = priority;
    attempt.sentAt = now;
    attempt.expectedFirstToken = now + predict(work, priority, now);
    m_memory.start(work.attempt, isEngine() ? memoryNeed(work) : 0);
    if (isEngine()) {
        delayLessUrgent(priority, work.promptTokens);
        m_backlog.add(work.attempt, priority, work.promptTokens, now);
    }
    if (lengthClassOf(work.promptTokens) == length_class::long_prompt) {
        ++m_longRunning;
        m_longTokens += memoryNeed(work);
    }
    m_running.emplace(work.attempt, std::move(attempt));
}

void backend_state::firstToken(const attempt_id &attempt, time_point now)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end() || found->second.firstTokenSeen) {
        return;
    }
    found->second.firstTokenSeen = true;
    m_backlog.complete(attempt, now);
    if (isEngine() && !found->second.late && isLate(found->second, now)) {
        found->second.late = true;
        m_slowStart.resetToCold(reset_reason::slow_first_token, now);
    }
}

void backend_state::output(const attempt_id &attempt, token_count tokens)
{
    const auto found = m_running.find(attempt);
    if (found != m_running.end()) {
        found->second.generated += tokens;
    }
}

void backend_state::cancelled(const attempt_id &attempt, time_point now)
{
    const auto found = m_running.find(attempt);
    if (found != m_running.end()) {
        found->second.cancelledAt = now;
    }
}

std::vector<attempt_id> backend_state::endedAfterCancel(const engine_report &report) const
{
    std::vector<attempt_id> gone;
    for (const auto &[attempt, state] : m_running) {
        if (!state.cancelledAt || *state.cancelledAt + cancelGrace > report.takenAt) {
            continue;
        }
        const bool listed = std::any_of(report.streams.begin(), report.streams.end(), [&id = attempt](const reported_stream &stream) {
            return stream.attempt == id;
        });
        if (!listed) {
            gone.push_back(attempt);
        }
    }
    return gone;
}

std::optional<running_attempt> backend_state::end(const attempt_id &attempt, std::optional<reset_reason> reason, time_point now)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end()) {
        return std::nullopt;
    }
    running_attempt ended = std::move(found->second);
    m_running.erase(found);
    m_backlog.remove(attempt, now);
    m_memory.end(attempt, now);
    if (lengthClassOf(ended.work.promptTokens) == length_class::long_prompt) {
        --m_longRunning;
        m_longTokens -= memoryNeed(ended.work);
    }
    if (ended.cancelledAt) {
        return ended;
    }
    if (reason) {
        m_slowStart.resetToCold(*reason, now);
    } else if (!ended.late) {
        m_slowStart.onCompletion(!reportIsStale(now));
    }
    return ended;
}

void backend_state::applyReport(const engine_report &report, time_point now)
{
    if (m_reportTakenAt && report.takenAt < *m_reportTakenAt) {
        return;
    }
    m_reportTakenAt = report.takenAt;
    m_highestFencingNumber = std::max(m_highestFencingNumber, report.highestFencingNumber);
    m_slowStart.onReport(report, now);
    m_memory.applyReport(report);
    m_backlog.setReportedRate(report.prefillTokensPerSecond);
    m_backlog.setReportedTokens(static_cast<double>(report.queuedPrefillTokens), report.takenAt, now);
    if (!mustStayCold(now) && m_memory.foreignRequests() > 0) {
        m_slowStart.raiseToObserved(report.runningRequests);
    }
}

void backend_state::applyCacheEvent(const cache_event &event, time_point now)
{
    if (m_prefixes.apply(event) == prefix_estimate::outcome::restarted) {
        m_slowStart.resetToCold(reset_reason::cache_lost, now);
    }
}

void backend_state::detectLateFirstTokens(time_point now)
{
    if (!isEngine()) {
        return;
    }
    for (auto &[attempt, state] : m_running) {
        if (!state.firstTokenSeen && !state.late && isLate(state, now)) {
            state.late = true;
            m_slowStart.resetToCold(reset_reason::slow_first_token, now);
        }
    }
}

bool backend_state::reportIsStale(time_point now) const
{
    if (!m_reportTakenAt) {
        return isEngine();
    }
    return now - *m_reportTakenAt > m_options.reportStaleAfter;
}

bool backend_state::mustStayCold(time_point now) const
{
    // The previous owner may still send on its own view until its lease and the lag of the live list have passed.
    return m_isolated || now < m_assignment.ownedSince + membership::viewLease + m_options.liveListLag;
}

bool backend_state::isLate(const running_attempt &attempt, time_point now) const
{
    const auto expected = attempt.expectedFirstToken - attempt.sentAt;
    return now - attempt.sentAt > lateFactor * expected + lateSlack;
}

void backend_state::delayLessUrgent(int priority, token_count promptTokens)
{
    const std::chrono::duration<double> delay{ static_cast<double>(promptTokens) / m_backlog.tokensPerSecond() };
    for (auto &[attempt, state] : m_running) {
        if (!state.firstTokenSeen && state.priority > priority) {
            state.expectedFirstToken += std::chrono::duration_cast<std::chrono::nanoseconds>(delay);
        }
    }
}

} // namespace mustardtrail::placement

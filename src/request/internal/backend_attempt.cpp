#include "request/backend_attempt.h"

#include <algorithm>

namespace mustardtrail::request
{

namespace
{

constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

error failureOf(error_code code, const char *detail)
{
    return { code, verdict::not_run, detail, {} };
}

} // namespace

backend_attempt::backend_attempt(
    backend_attempt_options options, kind kind, attempt_id attempt, backend_server_id backend, time_point deadline)
    : m_options(options)
    , m_kind(kind)
    , m_attempt(std::move(attempt))
    , m_backend(std::move(backend))
    , m_deadline(deadline)
{
}

backend_actions backend_attempt::start(time_point now)
{
    backend_actions out;
    if (m_state != state::idle) {
        return out;
    }
    refreshIdleTimer(now);
    if (now >= m_deadline) {
        fail(failureOf(error_code::deadline_exceeded, ""), now, out);
        return out;
    }
    m_state = state::connecting;
    out.push_back(open_stream{ m_attempt, m_backend, ++m_connection });
    return out;
}

backend_actions backend_attempt::handle(const backend_event &event, time_point now)
{
    backend_actions out;
    std::visit(
        [&](const auto &typed) {
            on(typed, now, out);
        },
        event);
    return out;
}

bool backend_attempt::isDone() const
{
    return m_state == state::done;
}

bool backend_attempt::isOver() const
{
    return m_state == state::cancelling || m_state == state::done;
}

verdict backend_attempt::outcomeSoFar() const
{
    return m_outcome;
}

const attempt_id &backend_attempt::attempt() const
{
    return m_attempt;
}

const backend_server_id &backend_attempt::backend() const
{
    return m_backend;
}

bool backend_attempt::isCurrent(int connection) const
{
    return connection == m_connection && m_state != state::idle && !isOver();
}

void backend_attempt::refreshIdleTimer(time_point now)
{
    m_lastActivity = now;
}

void backend_attempt::on(const connection_ready &event, time_point now, backend_actions &)
{
    if (isCurrent(event.connection)) {
        refreshIdleTimer(now);
    }
}

void backend_attempt::on(const request_sent &event, time_point now, backend_actions &)
{
    // The byte may reach the backend server although this attempt has ended or moved to another connection.
    m_outcome = std::max(m_outcome, verdict::may_have_run);
    if (isCurrent(event.connection) && m_state == state::connecting) {
        refreshIdleTimer(now);
        m_state = state::sent;
    }
}

void backend_attempt::markAccepted(backend_actions &out)
{
    m_outcome = std::max(m_outcome, verdict::may_have_run);
    m_resumeAt.reset();
    m_state = state::streaming;
    if (!m_accepted) {
        m_accepted = true;
        out.push_back(attempt_accepted{ m_attempt, m_backend });
    }
}

void backend_attempt::on(const backend_accepted &event, time_point now, backend_actions &out)
{
    if (!isCurrent(event.connection)) {
        return;
    }
    refreshIdleTimer(now);
    markAccepted(out);
}

void backend_attempt::on(const backend_alive &event, time_point now, backend_actions &out)
{
    on(backend_accepted{ event.connection }, now, out);
}

void backend_attempt::on(const backend_chunk &event, time_point now, backend_actions &out)
{
    if (!isCurrent(event.connection)) {
        return;
    }
    refreshIdleTimer(now);
    markAccepted(out);
    if (event.sequence < m_next) {
        return;
    }
    if (event.sequence > m_next) {
        return resumeOrFail(failureOf(error_code::backend_answer_invalid, "reason=gap"), now, out);
    }
    out.push_back(attempt_output{ m_attempt, m_next, event.text, event.tokens });
    ++m_next;
}

void backend_attempt::on(const backend_finished &event, time_point now, backend_actions &out)
{
    if (!isCurrent(event.connection)) {
        return;
    }
    refreshIdleTimer(now);
    markAccepted(out);
    m_outcome = verdict::ran;
    if (event.chunks != m_next || event.finishReason.empty()) {
        return resumeOrFail(failureOf(error_code::backend_answer_invalid, "reason=end"), now, out);
    }
    m_state = state::done;
    out.push_back(attempt_finished{ m_attempt, event.chunks, event.finishReason });
}

void backend_attempt::on(const backend_refused &event, time_point now, backend_actions &out)
{
    if (!isCurrent(event.connection)) {
        return;
    }
    refreshIdleTimer(now);
    if (m_state == state::resuming) {
        return onRefusedResume(event, now, out);
    }
    error failure = failureOf(error_code::backend_refused, "");
    failure.detail = "status=" + std::to_string(event.status);
    failure.retryAfter = event.retryAfter;
    // A conflict means that the backend server has already received this attempt, whatever else it reports.
    const bool neverStarted = event.started == false && event.status != statusConflict && !m_accepted;
    if (neverStarted) {
        m_outcome = verdict::not_run;
    } else {
        m_outcome = std::max(m_outcome, event.started == true ? verdict::ran : verdict::may_have_run);
    }
    if (neverStarted || m_kind == kind::service) {
        // The exchange is over and nothing runs: a cancel would only add load to a server that may be overloaded.
        m_state = state::done;
        return reportFailure(failure, out);
    }
    fail(failure, now, out);
}

void backend_attempt::onRefusedResume(const backend_refused &event, time_point now, backend_actions &out)
{
    error failure = m_streamFailure;
    failure.detail += " resume_status=" + std::to_string(event.status);
    const bool isTransient = event.status == statusTooManyRequests || event.status == statusUnavailable;
    if (isTransient) {
        return resumeOrFail(failure, now, out);
    }
    // The engine no longer has the stream: the answer is lost, but the request may have run.
    fail(failure, now, out);
}

void backend_attempt::on(const connection_lost &event, time_point now, backend_actions &out)
{
    if (!isCurrent(event.connection)) {
        return;
    }
    if (m_outcome == verdict::not_run) {
        m_state = state::done;
        return reportFailure(failureOf(error_code::backend_connect_failed, ""), out);
    }
    resumeOrFail(failureOf(error_code::backend_connection_lost, ""), now, out);
}

void backend_attempt::on(const cancel_acknowledged &, time_point, backend_actions &)
{
    if (m_state == state::cancelling) {
        m_state = state::done;
    }
}

void backend_attempt::on(const attempt_abandoned &, time_point now, backend_actions &out)
{
    if (!isOver()) {
        endWithCancel(now, out);
    }
}

} // namespace mustardtrail::request

#include "request/backend_attempt.h"

#include <boost/json/object.hpp>

#include <algorithm>

namespace mustardtrail::request
{

using std::chrono::milliseconds;

void backend_attempt::resumeOrFail(const error &failure, time_point now, backend_actions &out)
{
    m_streamFailure = failure;
    // An engine that has not accepted the request gets no resume: the origin retries sooner at another server.
    const bool resumable = m_kind == kind::engine && m_accepted;
    if (!resumable || m_resumes >= m_options.maxResumes) {
        return fail(failure, now, out);
    }
    m_state = state::resuming;
    ++m_connection;
    if (m_resumes == 0) {
        return sendResume(now, out);
    }
    m_resumeAt = now + m_options.resumeDelay;
}

void backend_attempt::sendResume(time_point now, backend_actions &out)
{
    m_resumeAt.reset();
    ++m_resumes;
    refreshIdleTimer(now);
    out.push_back(resume_stream{ m_attempt, m_backend, m_connection, m_next });
}

void backend_attempt::fail(const error &failure, time_point now, backend_actions &out)
{
    endWithCancel(now, out);
    reportFailure(failure, out);
}

void backend_attempt::reportFailure(const error &failure, backend_actions &out)
{
    error reported = failure;
    reported.outcome = m_outcome;
    out.push_back(attempt_failed{ m_attempt, std::move(reported), m_backend });
}

void backend_attempt::endWithCancel(time_point now, backend_actions &out)
{
    const bool begun = m_state != state::idle;
    m_state = state::done;
    if (!begun) {
        return;
    }
    if (m_kind == kind::engine && m_outcome != verdict::not_run) {
        m_state = state::cancelling;
        return sendCancel(now, out);
    }
    // Nothing was sent: closing the connection keeps the verdict "not run" correct.
    out.push_back(cancel_stream{ m_attempt, m_backend, false });
}

void backend_attempt::sendCancel(time_point now, backend_actions &out)
{
    ++m_cancels;
    m_cancelAt = now + m_options.cancelInterval;
    out.push_back(cancel_stream{ m_attempt, m_backend });
}

void backend_attempt::onCancelDue(time_point now, backend_actions &out)
{
    if (m_cancels < m_options.maxCancels) {
        return sendCancel(now, out);
    }
    // A stream still running at the engine is found later by comparison with the engine's own list of streams.
    m_state = state::done;
}

time_point backend_attempt::timeoutAt() const
{
    if (m_state == state::cancelling) {
        return m_cancelAt;
    }
    if (m_resumeAt) {
        return std::min(m_deadline, *m_resumeAt);
    }
    const milliseconds timeout = m_state == state::connecting ? m_options.connectTimeout : m_options.idleTimeout;
    return std::min(m_deadline, m_lastActivity + timeout);
}

std::optional<time_point> backend_attempt::nextWake() const
{
    if (m_state == state::idle || m_state == state::done) {
        return std::nullopt;
    }
    return timeoutAt();
}

backend_actions backend_attempt::onTick(time_point now)
{
    backend_actions out;
    const std::optional<time_point> wake = nextWake();
    if (!wake || now < *wake) {
        return out;
    }
    if (m_state == state::cancelling) {
        onCancelDue(now, out);
        return out;
    }
    if (now >= m_deadline) {
        fail({ error_code::deadline_exceeded, m_outcome, "", {} }, now, out);
        return out;
    }
    if (m_resumeAt) {
        sendResume(now, out);
        return out;
    }
    if (m_state == state::connecting) {
        fail({ error_code::backend_connect_failed, m_outcome, "reason=timeout", {} }, now, out);
        return out;
    }
    resumeOrFail({ error_code::backend_timeout, m_outcome, "", {} }, now, out);
    return out;
}

boost::json::value backend_attempt::dump(time_point now) const
{
    static constexpr const char *names[] = { "idle", "connecting", "sent", "streaming", "resuming", "cancelling", "done" };
    boost::json::object state;
    state["attempt"] = m_attempt.str();
    state["backend_server"] = m_backend.str();
    state["state"] = names[static_cast<int>(m_state)];
    state["verdict_so_far"] = toString(m_outcome);
    state["pieces"] = m_next;
    state["resumes"] = m_resumes;
    state["left_ms"] = std::chrono::floor<milliseconds>(m_deadline - now).count();
    return state;
}

} // namespace mustardtrail::request

#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "request/backend_attempt_actions.h"
#include "request/backend_attempt_events.h"
#include "request/backend_attempt_options.h"

#include <boost/json/value.hpp>

#include <optional>

namespace mustardtrail::request
{

/// One attempt of a request at one backend server, on the instance that owns the server.
/// Tells the origin exactly once how it ended, unless the origin abandoned it.
class backend_attempt
{
public:
    enum class kind {
        engine, ///< Streams can be resumed and cancelled.
        service, ///< Plain service: neither.
    };

    backend_attempt(backend_attempt_options options, kind kind, attempt_id attempt, backend_server_id backend, time_point deadline);

    backend_actions start(time_point now);
    backend_actions handle(const backend_event &event, time_point now);
    backend_actions onTick(time_point now);
    /// When onTick has work next; nothing once done.
    std::optional<time_point> nextWake() const;

    /// Ended for the origin, and no cancel is outstanding.
    bool isDone() const;
    /// Whether the request may have reached the backend server, as far as is known now.
    verdict outcomeSoFar() const;
    const attempt_id &attempt() const;
    const backend_server_id &backend() const;
    boost::json::value dump(time_point now) const;

private:
    enum class state {
        idle,
        connecting, ///< No byte was sent.
        sent, ///< Not yet accepted.
        streaming,
        resuming, ///< Asks the engine for the rest, or waits to ask.
        cancelling, ///< Ended for the origin; the engine has yet to confirm the cancel.
        done,
    };

    void on(const connection_ready &event, time_point now, backend_actions &out);
    void on(const request_sent &event, time_point now, backend_actions &out);
    void on(const backend_accepted &event, time_point now, backend_actions &out);
    void on(const backend_alive &event, time_point now, backend_actions &out);
    void on(const backend_chunk &event, time_point now, backend_actions &out);
    void on(const backend_finished &event, time_point now, backend_actions &out);
    void on(const backend_refused &event, time_point now, backend_actions &out);
    void on(const connection_lost &event, time_point now, backend_actions &out);
    void on(const cancel_acknowledged &event, time_point now, backend_actions &out);
    void on(const attempt_abandoned &event, time_point now, backend_actions &out);

    bool isCurrent(int connection) const;
    void refreshIdleTimer(time_point now);
    void markAccepted(backend_actions &out);
    void onRefusedResume(const backend_refused &event, time_point now, backend_actions &out);
    void resumeOrFail(const error &failure, time_point now, backend_actions &out);
    void sendResume(time_point now, backend_actions &out);
    void fail(const error &failure, time_point now, backend_actions &out);
    void reportFailure(const error &failure, backend_actions &out);
    void endWithCancel(time_point now, backend_actions &out);
    void sendCancel(time_point now, backend_actions &out);
    void onCancelDue(time_point now, backend_actions &out);
    bool isOver() const;
    time_point timeoutAt() const;

    backend_attempt_options m_options;
    kind m_kind;
    attempt_id m_attempt;
    backend_server_id m_backend;
    time_point m_deadline;
    state m_state = state::idle;
    int m_connection = 0;
    bool m_accepted = false;
    verdict m_outcome = verdict::not_run;
    std::uint64_t m_next = 0; ///< Sequence of the next piece.
    time_point m_lastActivity{};
    int m_resumes = 0;
    std::optional<time_point> m_resumeAt; ///< Set while a further resume waits.
    error m_streamFailure; ///< Why the stream has to be resumed.
    int m_cancels = 0;
    time_point m_cancelAt{};
};

} // namespace mustardtrail::request

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
/// Reports its end to the origin exactly once, unless the origin abandoned it.
class backend_attempt
{
public:
    enum class kind {
        engine, ///< Its streams can be resumed and cancelled.
        service, ///< Plain service: no resume, no cancel.
    };

    backend_attempt(backend_attempt_options options, kind kind, attempt_id attempt, backend_server_id backend, time_point deadline);

    backend_actions start(time_point now);
    backend_actions handle(const backend_event &event, time_point now);
    backend_actions onTick(time_point now);
    /// When to call onTick next; nullopt before the start and once done.
    std::optional<time_point> nextWake() const;

    /// Whether the attempt has ended and no cancel is outstanding.
    bool isDone() const;
    /// What is known so far about whether the backend server ran the request.
    verdict outcomeSoFar() const;
    const attempt_id &attempt() const;
    const backend_server_id &backend() const;
    boost::json::value dump(time_point now) const;

private:
    enum class state {
        idle,
        connecting, ///< No byte of the request was sent.
        sent, ///< The request was sent but not yet accepted.
        streaming,
        resuming, ///< Requests the rest of the stream from the engine, or waits before the next try.
        cancelling, ///< End reported to the origin; waits for the engine to acknowledge the cancel.
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
    std::uint64_t m_next = 0; ///< Sequence number of the next piece.
    time_point m_lastActivity{};
    int m_resumes = 0;
    std::optional<time_point> m_resumeAt; ///< When the next resume is sent; set during the delay before it.
    error m_streamFailure; ///< Failure that made the resume necessary.
    int m_cancels = 0;
    time_point m_cancelAt{};
};

} // namespace mustardtrail::request

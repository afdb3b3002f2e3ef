#pragma once

#include "config/backend_server.h"
#include "group/engine_holdings.h"
#include "group/group_events.h"
#include "node/entry_actions.h"
#include "node/tests/timeline.h"
#include "node/tests/trace.h"
#include "placement/engine_report.h"
#include "request/backend_attempt_events.h"

#include <functional>
#include <map>

namespace mustardtrail::node::testing
{

/// What a backend server does to requests that arrive.
enum class backend_mood {
    serves,
    refuses,
    drops_before_run,
    drops_after_run,
    slow,
};

/// Whole answer to the prompt of a request.
std::string expectedAnswer(const request_id &request);

/// Model engine or plain service: memory in tokens, a cold bound, answers in pieces.
class fake_backend
{
public:
    using to_owner = std::function<void(const request::backend_event &event)>;

    fake_backend(config::backend_server server, timeline &time, session_trace &trace);

    void arrive(const open_backend &request, to_owner reply, bool viewsAgree);
    void resume(const attempt_id &attempt, int connection, std::uint64_t from, to_owner reply);
    /// The connection broke: an engine keeps the stream until it is resumed or cancelled.
    void disconnect(const attempt_id &attempt);
    void cancel(const attempt_id &attempt);
    /// Breaks one connection in the middle of its answer.
    void breakConnection();
    /// One call of a group; the memory is kept until it is released or its lease ends.
    group::engine_replied serve(const call_engine &call);
    void release(const group::engine_group_id &group);
    std::vector<group::reported_group> groups();
    /// Loses all streams; cold until it has been up for a while.
    void restart();
    /// Loses its caches and goes on: the same incarnation, cold in its reports for a while.
    void chill();
    void setMood(backend_mood mood);
    placement::engine_report report();
    std::uint64_t highestFencingNumber() const;
    token_count heldTokens() const;
    const config::backend_server &server() const;

private:
    struct stream {
        request_id request;
        token_count tokens = 0;
        std::uint64_t fencingNumber = 0;
        std::uint64_t first = 0; ///< Pieces that the caller has already.
        std::uint64_t made = 0; ///< Pieces made since.
        std::uint64_t sent = 0;
        int connection = 0;
        to_owner reply; ///< Empty while nobody is connected: the stream keeps its memory.
    };

    struct held_group {
        token_count tokens = 0;
        time_point leaseEnd{};
        std::optional<time_point> prefilledAt;
    };

    time_point beginOf(const open_backend &request) const;
    void hold(const group::engine_group_id &group, token_count tokens, std::chrono::milliseconds lease);
    void run(const open_backend &request, to_owner reply);
    void makePiece(const attempt_id &attempt, std::uint64_t incarnation);
    void send(const attempt_id &attempt);
    void noteLoad();

    config::backend_server m_server;
    timeline &m_time;
    session_trace &m_trace;
    backend_mood m_mood = backend_mood::serves;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_highestFencingNumber = 0;
    time_point m_warmAt{};
    std::optional<time_point> m_coldReportedAt;
    std::map<attempt_id, stream> m_streams;
    std::map<group::engine_group_id, held_group> m_groups;
};

} // namespace mustardtrail::node::testing

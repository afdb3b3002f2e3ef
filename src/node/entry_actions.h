#pragma once

#include "base/endpoint.h"
#include "group/group_actions.h"
#include "node/hop_attempt.h"
#include "placement/owner_summary.h"
#include "request/backend_attempt_actions.h"
#include "request/request_actions.h"

#include <boost/json/value.hpp>

#include <string>
#include <variant>
#include <vector>

namespace mustardtrail::node
{

/// Hand an attempt to another instance; its events come back as attempt_* events.
struct forward_attempt {
    hop_attempt attempt;
    endpoint to;
    request_id request; ///< Whose body goes along.
};

/// Close the hop of an attempt.
struct close_hop {
    attempt_id attempt;
};

/// Open a connection for an attempt and send it, if the clock is still below notAfter.
struct open_backend {
    attempt_id attempt;
    request_id request;
    backend_server_id backend;
    endpoint to;
    int connection = 0;
    bool isEngine = true;
    int priority = 0;
    std::uint64_t fencingNumber = 0;
    time_point notAfter{};
    time_point deadline{};
    std::uint64_t prefixHash = 0;
    token_count maxNewTokens = 0;
    token_count deliveredTokens = 0;
    std::string deliveredText; ///< Empty when the body holds it already.
    std::optional<group_target> group;
};

/// Ask an engine for the rest of a stream.
struct resume_backend {
    attempt_id attempt;
    backend_server_id backend;
    endpoint to;
    int connection = 0;
    std::uint64_t from = 0;
};

/// Close the attempt's connection and send the engine its cancel.
struct cancel_backend {
    attempt_id attempt;
    backend_server_id backend;
    endpoint to;
    bool isEngine = true;
    time_point notAfter{}; ///< Zero: whatever the view, because this instance sent the attempt itself.
};

/// Event of an attempt for the origin at the other end of the hop.
struct reply_on_hop {
    attempt_id attempt;
    std::variant<request::attempt_accepted, request::attempt_output, request::attempt_finished, request::attempt_failed> event;
    /// Load of this owner in the attempt's pool, with the first and the last event. Goes to the origin before the event.
    std::optional<placement::owner_summary> load{};
};

/// JSON-RPC call to another instance. Answered by peer_answered.
struct call_peer {
    std::uint64_t call = 0; ///< 0: no answer is wanted.
    endpoint to;
    std::string method;
    boost::json::value parameters;
    std::chrono::milliseconds timeout{ 0 };
};

/// Answer to peer_call.
struct peer_answer {
    std::uint64_t call = 0;
    result<boost::json::value> answer;
};

/// Read the load report of an engine, its cache events, and its groups when asked for.
struct read_engine {
    backend_server_id backend;
    endpoint to;
    std::uint64_t eventsFrom = 0;
    bool withEvents = false;
    bool withGroups = false;
};

/// Call of a group to an engine; answered by engine_replied.
struct call_engine {
    std::variant<group::kv_reserve, group::kv_prefill, group::kv_export, group::kv_import, group::kv_release> call;
    endpoint to;
    request_id request; ///< Whose prompt a segment is taken from.
};

/// Free a group that nobody renews.
struct release_group {
    backend_server_id backend;
    endpoint to;
    group::engine_group_id group;
    time_point notAfter{};
};

/// Load of this instance for the other instances.
struct publish_summary {
    placement::owner_summary summary;
};

using entry_action = std::variant<request::relay_output,
    request::complete_request,
    request::fail_request,
    forward_attempt,
    close_hop,
    open_backend,
    resume_backend,
    cancel_backend,
    reply_on_hop,
    call_peer,
    peer_answer,
    read_engine,
    call_engine,
    release_group,
    publish_summary>;
using entry_actions = std::vector<entry_action>;

} // namespace mustardtrail::node

#pragma once

#include "group/engine_holdings.h"
#include "group/group_events.h"
#include "membership/fleet_view.h"
#include "node/hop_attempt.h"
#include "placement/engine_report.h"
#include "placement/owner_summary.h"
#include "placement/prefix_estimate.h"
#include "request/backend_attempt_events.h"
#include "request/request_events.h"

#include <boost/json/value.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mustardtrail::node
{

/// A new view of the fleet, or the same one confirmed again.
struct view_received {
    std::shared_ptr<const membership::fleet_view> view;
};

/// An origin hands an attempt to this instance.
struct hop_arrived {
    hop_attempt attempt;
};

/// The origin closed the hop.
struct hop_closed {
    attempt_id attempt;
};

/// What the connection of an attempt to its backend server reports.
struct backend_reported {
    attempt_id attempt;
    request::backend_event event;
};

/// Answer to read_engine.
struct engine_read {
    backend_server_id backend;
    result<group::engine_holdings> holdings;
    std::vector<placement::cache_event> cacheEvents;
    bool listsGroups = false; ///< The holdings include the engine's groups.
};

/// Load of another owner.
struct summary_received {
    placement::owner_summary summary;
};

/// Another instance calls; answered by one peer_answer with the same number.
struct peer_call {
    std::uint64_t call = 0;
    std::string method;
    boost::json::value parameters;
};

/// Answer to call_peer, or why there is none.
struct peer_answered {
    std::uint64_t call = 0;
    result<boost::json::value> answer;
};

/// Planned stop: new requests are refused, what runs finishes.
struct begin_stop {
};

/// Planned stop, last step: nothing runs any more.
struct end_stop {
};

/// Time has reached nextWake().
struct clock_tick {
};

using entry_event = std::variant<request::caller_request,
    request::caller_gone,
    request::attempt_accepted,
    request::attempt_output,
    request::attempt_finished,
    request::attempt_failed,
    view_received,
    hop_arrived,
    hop_closed,
    backend_reported,
    engine_read,
    group::engine_replied,
    summary_received,
    peer_call,
    peer_answered,
    begin_stop,
    end_stop,
    clock_tick>;

} // namespace mustardtrail::node

#pragma once

#include "gateway/fleet_state.h"
#include "http/request_message.h"
#include "http/response_message.h"

namespace mustardtrail::gateway
{

/// Answers GET /placement?host=..&path=..&prompt=..&answer=..&customer=..: where a request that arrives now would be sent, and why, as
/// JSON. `queuedHere`: requests that wait at this instance. Changes nothing. Errors: 400 with a reason, 404 for an unknown route, 503
/// while the instance may not serve.
http::response_message answerPlacementQuery(
    const fleet_state &state, size_t queuedHere, const http::request_message &request, time_point now);

} // namespace mustardtrail::gateway

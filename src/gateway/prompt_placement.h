#pragma once

#include "gateway/placement_candidate.h"
#include "gateway/placement_decision.h"
#include "gateway/placement_request.h"
#include "gateway/service_profile.h"

namespace mustardtrail::gateway
{

/// Decides which engines prefill a prompt, and when. Guards against three load patterns: prompts of very different
/// lengths on one pool (long ones are split over many engines, so that none blocks its decoding requests), long prompts
/// that arrive together (they wait here until the engines' batch steps are short again), and a full pool (requests are
/// refused as soon as it is certain that they cannot be served).
placement_decision placePrompt(
    const placement_request &request, const engine_profile &engine, const std::vector<placement_candidate> &candidates, time_point now);

/// Slots of the answering engine that the request leaves free: late ones leave the last to those that can still be on time. Below 0: it
/// may queue at the engine.
int slotsToLeaveFree(const placement_request &request, const engine_profile &engine, time_point now);

} // namespace mustardtrail::gateway

#pragma once

#include "gateway/placement_candidate.h"
#include "gateway/placement_decision.h"
#include "gateway/placement_request.h"
#include "gateway/service_profile.h"

namespace mustardtrail::gateway
{

/// Where and when a prompt is read. Answers three load patterns: prompts of very unlike lengths on one pool (long ones
/// are read in parts by many engines, so that none blocks its writers), long prompts that arrive together (they wait
/// here until the engines' passes are short again), and a pool that is full (a refusal as soon as it is certain).
placement_decision placePrompt(
    const placement_request &work, const engine_profile &engine, const std::vector<placement_candidate> &candidates, time_point now);

} // namespace mustardtrail::gateway

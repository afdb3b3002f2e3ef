#pragma once

#include "gateway/prompt_placement.h"
#include "gateway/waiting_prompt.h"

namespace mustardtrail::gateway
{

/// Places a prompt on the capacity that is left once the prompts ahead, in order, have been placed virtually. A prompt ahead that
/// cannot be placed now takes nothing; one that is the first of its urgency and has waited for `reservesAfter` keeps the engines that
/// it would use first. `number` is the own prompt's in the order.
placement_decision placementBehind(const std::vector<waiting_prompt> &ahead,
    std::uint64_t number,
    const placement_request &request,
    const engine_profile &engine,
    const std::vector<placement_candidate> &candidates,
    time_point now);

/// Returns the engines as the prompts ahead leave them. One that is kept for a prompt ahead is at its cold limit.
std::vector<placement_candidate> leftBehind(const std::vector<waiting_prompt> &ahead,
    const placement_request &request,
    const engine_profile &engine,
    const std::vector<placement_candidate> &candidates,
    time_point now);

inline constexpr size_t maxPlacedAhead = 8; ///< Bounds the time of a decision; more prompts seldom fit at one moment.
/// Age at which the first of an urgency is no longer passed over: a large prompt would else starve behind small ones.
inline constexpr std::chrono::milliseconds reservesAfter{ 1'500 };

} // namespace mustardtrail::gateway

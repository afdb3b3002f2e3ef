#pragma once

#include "gateway/placement_candidate.h"
#include "gateway/placement_request.h"
#include "gateway/service_profile.h"

#include <vector>

namespace mustardtrail::gateway
{

inline constexpr std::chrono::milliseconds sendMargin{ 100 }; ///< Network, and the batch step that runs when the request arrives.
inline constexpr std::chrono::milliseconds forecastMargin{ 50 }; ///< As sendMargin for a forecast that includes the running batch step.
inline constexpr std::chrono::milliseconds roundTrip{ 4 }; ///< Between this instance and a server of its data centre.
inline constexpr double reservationShare
    = 0.5; ///< Of an engine's memory for one prompt's reservation, so that other work can run beside it.

inline constexpr std::chrono::milliseconds localPreference{
    20
}; ///< By which an engine elsewhere must be earlier to be used: traffic between data centres costs money, and partitions break it.

using candidates_view = std::vector<const placement_candidate *>;

/// Most tokens of an engine's memory that one prompt reserves; at least 1, also where the configuration gives it no memory.
std::int64_t largestShare(const engine_profile &engine);
/// How the KV cache of a prompt and its answer is divided over engines.
struct memory_split {
    size_t holders = 1; ///< Engines that hold a share, the answering one included.
    std::int64_t share = 0; ///< Tokens at each of them.
};

memory_split splitMemory(std::int64_t tokens, const engine_profile &engine);

/// Pending prefill at the engine's actual speed.
std::chrono::microseconds pendingAt(const placement_candidate &candidate);
/// Duration of the batch step with the pending prefill and the part, at the engine's actual speed. `part`: at the published one.
std::chrono::microseconds stepTimeWith(const placement_candidate &candidate, std::chrono::microseconds part, const engine_profile &engine);
/// Whether a part there would hold up the streams of the engine, or prefill that is pending, for too long.
bool wouldDisturb(
    const placement_candidate &candidate, std::chrono::microseconds part, const engine_profile &engine, const placement_request &request);
/// Whether the engine has the slot and the memory for an answer; `reserve`: slots to leave free.
bool canAnswer(const placement_candidate &candidate, std::int64_t tokens, const engine_profile &engine, int reserve);
/// Whether the engine may be used at all.
bool isUsable(const placement_candidate &candidate);
/// Whether the engine may prefill a part of a prompt that another one answers. A slow one only if its part is done in time.
bool canHelp(const placement_candidate &candidate,
    std::chrono::microseconds part,
    const engine_profile &engine,
    const placement_request &request,
    time_point now);
/// Suspected engines last, then by pending prefill with a part at the actual speed, own data centre first, and by requests.
candidates_view orderedByPending(const std::vector<placement_candidate> &candidates);
candidates_view withoutLatencySensitive(const candidates_view &ordered);
/// Without suspected ones.
candidates_view inOwnDataCentre(const candidates_view &ordered);

} // namespace mustardtrail::gateway

#pragma once

#include "gateway/placement_candidate.h"
#include "gateway/service_profile.h"
#include "gateway/waiting_prompts.h"

#include <optional>
#include <vector>

namespace mustardtrail::gateway
{

/// When capacity for a waiting prompt becomes free, as far as it is known. The estimate is optimistic: of what is not known, such as
/// arrivals to come, it assumes the best.
struct room_forecast {
    std::chrono::microseconds capacityIn{ 0 };
    std::chrono::microseconds firstEventIn{ 0 };
    size_t ahead = 0; ///< Prompts before it that were counted, in a large fleet not all.
    size_t engines = 0; ///< Engines that were counted.
    size_t works = 0; ///< Pieces of work at these engines that were counted.
};

inline constexpr std::chrono::hours notForeseen{ 1 }; ///< Time in a forecast of what will not happen soon.

/// Forecasts from the known work and the prompts before this one; one that will be late is placed behind all that will not. Returns
/// nullopt without a usable engine.
std::optional<room_forecast> forecastRoom(const waiting_prompt &prompt,
    const waiting_prompts &waiting,
    const engine_profile &engine,
    const std::vector<placement_candidate> &candidates,
    const load_tracker &loads,
    time_point now);

/// Whether waiting is in vain: the prompt will be late, and either its caller leaves before the first event, or the wait for capacity
/// lasts beyond half of the caller's wait limit, when a late prompt is refused.
bool isWaitInVain(const room_forecast &forecast, const waiting_prompt &prompt, time_point now);

/// Returns when a refused caller may come back: when capacity becomes free, within a third of its time left; later by up to a quarter,
/// so that not all come at once. `point` is a random number, uniform over [0, 1).
std::chrono::milliseconds retryAfter(const room_forecast &forecast, std::chrono::milliseconds timeLeft, double point);

} // namespace mustardtrail::gateway

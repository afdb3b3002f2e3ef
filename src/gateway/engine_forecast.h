#pragma once

#include "gateway/placement_candidate.h"
#include "gateway/service_profile.h"

#include <chrono>

namespace mustardtrail::gateway
{

/// Predicted time to the first event of one part at one engine, and what it consists of. The parts of the sum but `link` include the
/// slowness.
struct engine_forecast {
    std::chrono::microseconds runningPass{ 0 }; ///< Rest of the pass that runs at the arrival.
    std::chrono::microseconds pending{ 0 }; ///< Prefill that waits there already.
    std::chrono::microseconds expectedOthers{ 0 }; ///< Prefill of sends that are not known yet.
    std::chrono::microseconds part{ 0 };
    std::chrono::microseconds step{ 0 }; ///< Batch step that writes.
    std::chrono::microseconds link{ 0 }; ///< Delay of the link to the engine's data centre, there and back.
    double slowness = 1.0;
    std::chrono::milliseconds pictureAge{ 0 }; ///< Of the known state.
    std::chrono::microseconds firstEvent{ 0 }; ///< The sum, with the round trip within a data centre.
    std::chrono::microseconds published{ 0 }; ///< The same at the published speed, without overdue prefill: measures the speed.
    std::chrono::microseconds publishedOthers{ 0 }; ///< Of `published`: prefill of others, known and expected.
};

/// Predicts the first event of a part that is sent to the engine now. `part`: its prefill time at the published speed.
engine_forecast forecastAt(const placement_candidate &candidate, std::chrono::microseconds part, const engine_profile &engine);

} // namespace mustardtrail::gateway

#pragma once

#include "gateway/internal/engine_fit.h"
#include "gateway/placement_decision.h"

#include <optional>

namespace mustardtrail::gateway
{

/// Places a prompt that is not latency-sensitive on as many engines as it takes to be on time without holding up the streams there.
/// Waits when it can be on time later but not now. Returns nullopt when no engine may answer it. Answers waves of long prompts: sent
/// as soon as any engine looks free, their parts pile up on the same engines, and one engine may get a whole prompt.
std::optional<placement_decision> placeCoordinated(
    const placement_request &request, const engine_profile &engine, const candidates_view &ordered, time_point now);

} // namespace mustardtrail::gateway

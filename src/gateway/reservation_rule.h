#pragma once

#include "base/clock.h"

#include <optional>

namespace mustardtrail::gateway
{

/// Time limits of memory that is reserved at an engine.
struct reservation_limits {
    /// `unusedLimit`: how long memory may be reserved and not used; `freedLimit`: how long after the end of the request that used it.
    static reservation_limits within(std::chrono::milliseconds unusedLimit, std::chrono::milliseconds freedLimit);

    std::chrono::milliseconds lease{ 3'100 }; ///< Outlasts a sound engine's silence, with the renewals before and after it.
    std::chrono::milliseconds renewalInterval{ 400 };
    std::chrono::milliseconds retryInterval{ 300 }; ///< Between renewals that the engine does not answer.
    std::chrono::milliseconds unproven{ 5'400 }; ///< After this time a lease is renewed only for memory that an engine reports as used.
};

/// What an engine says of the memory that is reserved there.
enum class memory_use {
    unknown, ///< It did not answer.
    gone, ///< It does not know the reservation.
    unused,
    used,
};

/// What this instance knows of the use of reserved memory.
struct reservation_age {
    time_point reservedAt{};
    std::optional<time_point> lastEventAt; ///< Of the request's answer; an engine that writes uses the memory.
};

/// Whether to ask the engine for the use of the memory before the lease is renewed. Guards against engines that never begin a
/// request, or end it, and do not say so: their helpers' memory would be reserved until the caller leaves.
bool needsProofOfUse(const reservation_age &age, const reservation_limits &limits, time_point now);

enum class renewal_step {
    renew,
    skip, ///< Let the lease expire.
    give_up, ///< No request has begun to use the memory: end the send that it is reserved for.
};

/// The next step after the engine's answer to that question.
renewal_step renewalStep(memory_use use, const reservation_age &age);

} // namespace mustardtrail::gateway

#pragma once

#include "base/units.h"

#include <chrono>
#include <cstddef>

namespace mustardtrail::placement
{

enum class long_placement {
    spread, ///< Engine with the shortest predicted time to first token.
    concentrate, ///< Engine with the most long-prompt tokens that still has room.
};

/// Parameters of placement decisions; set by the programs, not by operators.
struct placement_options {
    std::chrono::milliseconds liveListLag{ 3000 }; ///< Maximum lag of the platform's list of live instances.
    std::chrono::milliseconds engineBacklog{ 40 }; ///< Prefill work queued at one engine; the rest waits at the owner.
    std::chrono::milliseconds reportStaleAfter{ 5000 }; ///< Request limits do not grow on reports older than this.
    std::chrono::milliseconds queueCheckInterval{ 10 }; ///< Between two placement attempts for a queue that is not empty.
    std::chrono::milliseconds slowCheckInterval{ 500 }; ///< Between two checks for late first tokens.
    std::size_t maxCandidates = 8; ///< Backend servers considered for one decision.
    std::size_t maxQueued = 4096; ///< Attempts waiting in one pool.
    int longWaitMargin = 7; ///< Long prompts are admitted if this many times their predicted wait fits.
    int mediumWaitMargin = 6; ///< The same for medium prompts.
    int maxLongPrefills = 1; ///< Long prompts in prefill on one engine.
    double longReserveFraction = 0.1; ///< Share of an engine's memory that long prompts leave to shorter ones.
    double mediumReserveFraction = 0.1; ///< Share that medium prompts leave to short ones.
    double longClaimThreshold = 0.6; ///< A queued long prompt claims memory when this share of its target is left; 0: never.
    double mediumClaimThreshold = 0.9; ///< The same for medium prompts.
    bool predictsMemoryWait = true; ///< Admits medium prompts only if enough memory is predicted to become free in time.
    bool countLongArrivals = false; ///< Counts arrivals of long prompts in the share of the rate that more urgent work uses.
    long_placement longPlacement = long_placement::spread;
};

/// Options without memory claims for queued prompts; the benchmark compares against them.
inline placement_options optionsWithoutClaims()
{
    placement_options options;
    options.longWaitMargin = 4;
    options.mediumWaitMargin = 1;
    options.longClaimThreshold = 0;
    options.mediumClaimThreshold = 0;
    options.predictsMemoryWait = false;
    options.countLongArrivals = true;
    return options;
}

} // namespace mustardtrail::placement

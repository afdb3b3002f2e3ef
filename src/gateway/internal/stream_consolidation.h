#pragma once

#include "gateway/internal/engine_fit.h"

namespace mustardtrail::gateway
{

inline constexpr std::chrono::microseconds consolidationStepLimit{
    150'000
}; ///< Half of the 300 ms to the first event of a latency-sensitive stream.
inline constexpr double consolidationFreeShare
    = 0.375; ///< Of the slots where streams are consolidated; fuller engines delay the first event.

/// Chooses the engine for a latency-sensitive stream among the few that hold such streams: the less loaded of two drawn at random.
/// Answers many instances that place at the same moment with the same picture: choosing the one best engine, they would all choose
/// the same one, and its prefill would make all of them late. How many engines take part follows from the streams that run, so that
/// the others stay free for long prompts. When these are full, in a wave of short prompts, all engines with a free slot take part. Where
/// the delays between data centres are known, each data centre has its own such engines, and an engine elsewhere is chosen as in
/// `localUnlessLater`. Returns null if none of them has room.
const placement_candidate *consolidatedEngine(const candidates_view &ordered,
    std::int64_t tokens,
    std::chrono::microseconds part,
    const engine_profile &engine,
    const placement_request &request,
    time_point now);

/// Chooses between an engine of the own data centre and one elsewhere: the former unless the other has the first event earlier by more
/// than `localPreference`, or has it on time and the own one late. Either may be null, then it is the other one.
const placement_candidate *localUnlessLater(const placement_candidate *own,
    const placement_candidate *elsewhere,
    std::chrono::microseconds part,
    const engine_profile &engine,
    const placement_request &request,
    time_point now);

} // namespace mustardtrail::gateway

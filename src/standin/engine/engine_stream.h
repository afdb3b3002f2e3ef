#pragma once

#include "base/clock.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardtrail::standin
{

enum class stream_state {
    queued,
    prefilling,
    decoding,
    done,
    dropped, ///< Lost by a fault; its connection is cut.
};

/// Coalesced answer tokens.
struct stream_chunk {
    std::string text;
    token_count tokens = 0;
};

/// One request inside the engine.
struct engine_stream {
    std::string attempt;
    int priority = 0;
    std::uint64_t order = 0; ///< Of arrival.
    std::uint64_t fencingNumber = 0;
    std::uint64_t digest = 0;
    token_count promptTokens = 0;
    token_count maxNewTokens = 0;
    token_count deliveredTokens = 0; ///< Answer tokens that the caller has already.
    std::string prefix;
    bool memoryIsReserved = false; ///< Runs in a KV group.

    stream_state state = stream_state::queued;
    double prefillLeft = 0; ///< Tokens.
    double decodeCredit = 0; ///< Fraction of a token.
    token_count produced = 0;
    std::vector<stream_chunk> chunks;
    time_point finishedAt{};

    token_count heldTokens() const
    {
        const bool holds = state == stream_state::prefilling || state == stream_state::decoding;
        return holds && !memoryIsReserved ? promptTokens + maxNewTokens : 0;
    }
    bool isOver() const
    {
        return state == stream_state::done || state == stream_state::dropped;
    }
};

} // namespace mustardtrail::standin

#pragma once

#include "base/clock.h"

#include <cstdint>

namespace mustardtrail::gateway
{

/// Identity of a backend server in messages between instances: hash of its id.
using server_key = std::uint64_t;

/// What one request does at one backend server, as its instance tells the others.
struct server_work {
    std::uint64_t request = 0; ///< Random number of the request's attempt.
    server_key server = 0;
    std::chrono::microseconds prefillTime{ 0 }; ///< To read this server's part of the prompt, or to do plain work.
    std::int64_t memoryTokens = 0; ///< Prompt and longest answer that it keeps there.
    std::int64_t contextTokens = 0; ///< What a step of its answer looks back on here.
    bool isDecoding = false; ///< The first token has come, so nothing is left to read.
    bool isHelper = false; ///< Reads a part of the prompt and writes nothing.
    bool isSplitPrompt = false; ///< Others read parts of the same prompt, so its first token says little of this server.
    bool isLatencySensitive = false; ///< Its caller notices a pass longer than latencySensitivePause.
    time_point sentAt{};
};

/// Streams with a pause target up to this are disturbed by long passes; between the quick and the long classes.
inline constexpr std::chrono::milliseconds latencySensitivePause{ 700 };

} // namespace mustardtrail::gateway

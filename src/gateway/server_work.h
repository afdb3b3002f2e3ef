#pragma once

#include "base/clock.h"

#include <cstdint>

namespace mustardtrail::gateway
{

/// Identity of a backend server in messages between instances: hash of its id.
using server_key = std::uint64_t;

/// Identity of one start of a backend server in messages between instances: it may start anew under its id.
using server_start_key = std::uint64_t;

/// Work of one request at one backend server, as reported to the other instances.
struct server_work {
    std::uint64_t request = 0; ///< Random number of the request's attempt.
    server_key server = 0;
    std::chrono::microseconds prefillTime{ 0 }; ///< Predicted, for this server's part of the prompt or for a request without a prompt.
    std::int64_t memoryTokens = 0; ///< KV cache that it holds there for the prompt and the longest answer.
    std::int64_t contextTokens = 0; ///< Context on this server that each decode step reads.
    bool isDecoding = false; ///< The first token has arrived, so that prefill is done.
    bool isHelper = false; ///< Prefills a part of the prompt and decodes nothing.
    bool isSplitPrompt = false; ///< Other servers prefill parts of it too, so that a late first token is not evidence against this server.
    bool isLatencySensitive = false; ///< A stream with an event gap target up to maxLatencySensitiveGap.
    std::chrono::milliseconds eventGapTarget{ 0 }; ///< Of the stream that it answers; 0: unknown, or it answers none.
    time_point sentAt{};
};

/// Streams with an event gap target up to this are latency-sensitive: long batch steps disturb them. The value lies between
/// the short and the long event gap targets that routes use.
inline constexpr std::chrono::milliseconds maxLatencySensitiveGap{ 700 };

} // namespace mustardtrail::gateway

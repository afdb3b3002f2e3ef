#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "request/answer_assembler.h"
#include "request/request_events.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::request
{

enum class request_state {
    claiming, ///< Claims its key at the homes of the key.
    waiting, ///< Waits before its next attempt.
    running, ///< An attempt is live.
};

struct running_request {
    caller_request spec;
    bool repeatable = false;
    std::uint64_t order = 0; ///< Order of admission.
    time_point arrival{};
    time_point firstTokenDeadline{};
    time_point deadline{};
    request_state state = request_state::waiting;
    time_point wake{}; ///< Wake time under which request_core has scheduled this request.

    std::vector<instance_id> homes; ///< Homes of its key, in the order in which they are claimed.
    std::size_t homesGranted = 0;
    bool fullHistoryHomeGranted = false; ///< A home with a complete history granted the claim.
    time_point claimDeadline{};

    int attempts = 0;
    attempt_id attempt; ///< Empty while none is live.
    instance_id target;
    backend_server_id backend; ///< Empty until the live attempt was accepted.
    std::optional<std::string> version; ///< Model version of that backend server when it accepted.
    std::optional<answer_assembler> answer; ///< Answer of the live attempt.
    std::optional<time_point> gapSince; ///< Since when a piece of the answer is missing.
    time_point retryAt{};

    std::string deliveredText; ///< Kept for repeatable requests only.
    token_count deliveredTokens = 0;
    bool delivered = false; ///< A part of the answer was delivered to the caller.
    std::optional<std::string> answeredVersion; ///< Model version of the last delivered piece.
    verdict worstVerdict = verdict::not_run; ///< Highest verdict of all ended attempts.

    std::vector<backend_server_id> excludedBackends;
    std::vector<instance_id> excludedInstances;
    std::map<data_centre_id, int> failures; ///< Failed attempts by data centre.
};

} // namespace mustardtrail::request

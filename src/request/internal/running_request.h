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
    claiming, ///< Asks the homes of its key.
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
    time_point wake{}; ///< Entry of this request in the set of wakes.

    std::vector<instance_id> homes; ///< Homes of its key, in the order in which they are asked.
    std::size_t homesGranted = 0;
    bool fullHistoryHomeGranted = false;
    time_point claimDeadline{};

    int attempts = 0;
    attempt_id attempt; ///< Empty: none is live.
    instance_id target;
    backend_server_id backend; ///< Empty until the live attempt was accepted.
    std::optional<std::string> version; ///< Model version of that backend server when it accepted.
    std::optional<answer_assembler> answer; ///< Of the live attempt.
    std::optional<time_point> gapSince;
    time_point retryAt{};

    std::string deliveredText; ///< Kept for repeatable requests only.
    token_count deliveredTokens = 0;
    bool delivered = false; ///< The caller has a part of the answer.
    std::optional<std::string> answeredVersion; ///< Model version that gave the latest piece delivered.
    verdict worstVerdict = verdict::not_run; ///< Over all attempts that ended.

    std::vector<backend_server_id> excludedBackends;
    std::vector<instance_id> excludedInstances;
    std::map<data_centre_id, int> failures;
};

} // namespace mustardtrail::request

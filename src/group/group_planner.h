#pragma once

#include "base/error.h"
#include "group/group_plan.h"
#include "membership/fleet_view.h"

#include <chrono>
#include <functional>
#include <set>

namespace mustardtrail::group
{

/// Free KV memory of an engine as last heard; nothing when unknown.
using free_tokens_hook = std::function<std::optional<token_count>(const backend_server_id &)>;

/// What a plan has to hold.
struct plan_request {
    model_id model;
    token_count promptTokens = 0;
    token_count maxNewTokens = 0;
    std::set<backend_server_id> excluded; ///< Engines that failed this attempt.
};

/// Figures the planner works with.
struct planner_options {
    int headroomPercent = 5; ///< Share of an engine's memory left to other requests where the fleet allows it.
    std::chrono::milliseconds busyRetryAfter{ 2000 }; ///< Told to the caller when memory is held by others.
    std::chrono::milliseconds outOfServiceRetryAfter{ 30000 }; ///< Told when engines that would be needed are out of service.
};

/// Splits a prompt over the fewest engines of one data centre and one model.
/// Fails with prompt_exceeds_fleet (never fits, no time to come back) or group_memory_busy (fits later).
result<group_plan> planGroup(
    const membership::fleet_view &view, const free_tokens_hook &freeTokens, const plan_request &request, const planner_options &options);

/// Most tokens of prompt and answer that one data centre could ever hold for a model.
token_count largestGroup(const config::configuration &config, const model_id &model);

} // namespace mustardtrail::group

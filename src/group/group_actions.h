#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "group/group_key.h"
#include "group/reservation_messages.h"
#include "placement/work_item.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace mustardtrail::group
{

/// Ask the owner of an engine for memory, or renew the reservation; the same message does both.
struct reserve_at_owner {
    instance_id instance;
    reserve_request request;
    time_point deadline{}; ///< No answer by then counts as a failure.
};

struct release_at_owner {
    instance_id instance;
    release_request request;
};

/// What every call to an engine carries.
struct engine_call {
    group_key key;
    backend_server_id backend;
    std::uint64_t sequence = 0; ///< The reply repeats it.
    std::uint64_t fencingNumber = 0; ///< From the owner's grant.
    time_point deadline{}; ///< The host gives the call up then.
    time_point notAfter{}; ///< Not to be sent from this time on.
};

struct kv_reserve {
    engine_call call;
    token_count tokens = 0;
    std::chrono::milliseconds lease{ 0 };
};

struct kv_prefill {
    engine_call call;
    int index = 0;
    int of = 0;
    token_count firstToken = 0;
    token_count tokens = 0;
    std::string previousDigest; ///< Empty for the first segment.
    std::chrono::milliseconds lease{ 0 };
};

struct kv_export {
    engine_call call;
};

struct kv_import {
    engine_call call;
    std::string ticket;
    std::string digest;
    std::chrono::milliseconds lease{ 0 };
};

/// Frees everything of the group at the engine; safe at any time.
struct kv_release {
    engine_call call;
};

/// The prompt is prefilled: run the attempt at the last engine through its owner.
struct start_completion {
    placement::work_item work;
    instance_id owner;
    engine_call call;
    std::string digest; ///< Of the whole prompt.
};

struct cancel_completion {
    attempt_id attempt;
    instance_id owner;
    backend_server_id backend;
};

/// Final for this attempt.
struct fail_group {
    attempt_id attempt;
    error failure;
};

using group_action = std::variant<reserve_at_owner,
    release_at_owner,
    kv_reserve,
    kv_prefill,
    kv_export,
    kv_import,
    kv_release,
    start_completion,
    cancel_completion,
    fail_group>;
using group_actions = std::vector<group_action>;

} // namespace mustardtrail::group

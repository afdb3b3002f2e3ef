#pragma once

#include "base/error.h"
#include "group/group_key.h"
#include "group/reservation_messages.h"
#include "membership/fleet_view.h"
#include "placement/work_item.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace mustardtrail::group
{

/// An attempt whose prompt no single engine can hold.
struct start_group {
    placement::work_item work;
    std::chrono::milliseconds expectedPrefill{ 0 }; ///< Of the whole prompt, by placement's prediction.
    std::chrono::milliseconds expectedDecode{ 0 }; ///< Of the whole answer.
};

/// The owner of an engine answered, or the call failed before an answer came.
struct owner_replied {
    instance_id instance;
    reserve_reply reply;
};

/// An owner confirmed a release.
struct owner_released {
    instance_id instance;
    group_key key;
    backend_server_id backend;
};

/// Which call an engine answered.
enum class kv_step {
    reserve,
    prefill,
    publish, ///< The engine's export call.
    attach, ///< The engine's import call.
    release,
};

/// Answer of an engine to a call; the host reports its time-outs and lost connections in the same way.
struct engine_replied {
    kv_step step = kv_step::reserve;
    group_key key;
    backend_server_id backend;
    std::uint64_t sequence = 0; ///< Of the call.
    std::optional<error> failure;
    std::string digest; ///< prefill: of the prompt so far.
    std::string ticket; ///< publish: what the next engine attaches.
};

/// The first piece of the answer went to the caller.
struct completion_delivered {
    group_key key;
};

struct completion_finished {
    group_key key;
};

struct completion_failed {
    group_key key;
    error failure;
};

/// The engine died or restarted: nothing it held for groups is left.
struct engine_lost {
    backend_server_id backend;
};

/// A new view of the fleet is in force.
struct view_changed {
    std::shared_ptr<const membership::fleet_view> view;
};

/// The caller is gone or the attempt was given up.
struct cancel_group {
    attempt_id attempt;
};

using group_event = std::variant<start_group,
    owner_replied,
    owner_released,
    engine_replied,
    completion_delivered,
    completion_finished,
    completion_failed,
    engine_lost,
    view_changed,
    cancel_group>;

} // namespace mustardtrail::group

#pragma once

#include "base/clock.h"
#include "group/group_key.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mustardtrail::group
{

/// End a stream that nobody waits for.
struct cancel_orphan_stream {
    backend_server_id backend;
    attempt_id attempt;
    std::uint64_t fencingNumber = 0;
    time_point notAfter{}; ///< Not to be sent from this time on.
};

/// Free the memory of a group that nobody renews.
struct release_orphan_group {
    backend_server_id backend;
    engine_group_id group;
    std::uint64_t fencingNumber = 0;
    time_point notAfter{};
};

/// A stream that this instance counts is no longer at the engine.
struct stream_lost {
    backend_server_id backend;
    attempt_id attempt;
};

using reconcile_action = std::variant<cancel_orphan_stream, release_orphan_group, stream_lost>;
using reconcile_actions = std::vector<reconcile_action>;

} // namespace mustardtrail::group

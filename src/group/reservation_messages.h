#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/units.h"
#include "group/group_key.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace mustardtrail::group
{

/// From a group's entry instance to an engine's owner; repeating it renews the lease.
struct reserve_request {
    group_key key;
    backend_server_id backend;
    token_count tokens = 0;
    std::chrono::milliseconds lease{ 0 };
    std::uint64_t sequence = 0; ///< Grows with each message of a group; the answer repeats it.

    bool operator==(const reserve_request &) const = default;
};

/// Owner's answer; without a failure the memory is held until the lease ends.
struct reserve_reply {
    group_key key;
    backend_server_id backend;
    std::uint64_t sequence = 0; ///< Of the request.
    std::uint64_t fencingNumber = 0; ///< The owner's; calls to the engine carry it.
    std::optional<error> failure;
};

/// Ends this generation of the group and all before it at the owner.
struct release_request {
    group_key key;
    backend_server_id backend;

    bool operator==(const release_request &) const = default;
};

} // namespace mustardtrail::group

#pragma once

#include <cstddef>
#include <cstdint>

namespace mustardtrail::gateway
{

/// How the memory of an instance is divided among the bytes of others that it holds. The rest is for the program itself and for reading
/// the platform's store.
struct memory_shares {
    size_t requestBodies = 0; ///< Of its callers' requests.
    size_t relayedBodies = 0; ///< Of requests that it passes on for other instances.
    size_t answers = 0; ///< Of servers' answers, until its callers have taken them.

    /// `megabytes`: memory limit of the process; 0: not known.
    static memory_shares of(std::int64_t megabytes);
};

} // namespace mustardtrail::gateway

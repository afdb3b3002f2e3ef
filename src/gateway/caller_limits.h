#pragma once

#include "gateway/published_limits.h"

#include <cstddef>
#include <cstdint>

namespace mustardtrail::gateway
{

/// Limits in force of what a caller may send.
struct caller_limits {
    static constexpr size_t maxHeaderBytes = 64 * 1024; ///< Our own, whatever is published.
    static constexpr size_t maxBodyBytes = 16 * 1024 * 1024; ///< Our own, whatever is published.

    size_t headerBytes = 16 * 1024;
    size_t bodyBytes = maxBodyBytes;
    std::uint64_t version = 0; ///< Of the configuration in force; 0: none yet.

    /// Puts a version in force. A limit that it does not name soundly stays as it is. Returns whether a limit has changed.
    bool apply(const published_limits &published, std::uint64_t publishedVersion);
};

/// The limits as key=value pairs for the log.
std::string toString(const caller_limits &limits);

} // namespace mustardtrail::gateway

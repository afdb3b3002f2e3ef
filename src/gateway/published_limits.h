#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// The operator's limits of what a caller may send, as one version of the configuration names them. A limit that is missing or
/// cannot be used has no value.
struct published_limits {
    std::optional<size_t> headerBytes;
    std::optional<size_t> bodyBytes;
    std::vector<std::string> problems; ///< Limits that are not used as published, as key=value pairs for the log.
};

} // namespace mustardtrail::gateway

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace mustardtrail::config
{

/// Longest value that a key may hold.
constexpr size_t maxValueBytes = 1024 * 1024;

/// One published key.
struct config_entry {
    std::string key;
    std::int64_t revision = 0; ///< Revision of the configuration at which this key changed last.
    std::optional<std::string> value; ///< JSON text; empty: the key is deleted.

    bool operator==(const config_entry &) const = default;
};

} // namespace mustardtrail::config

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mustardtrail::config
{

/// Change of some elements under one key, sent between peers in place of the whole value.
struct config_patch {
    std::string key;
    std::int64_t revision = 0; ///< Revision of the key after the change.
    std::uint64_t digest = 0; ///< Digest of the key's content after the change.
    std::vector<std::string> changed; ///< JSON text of elements that are new or differ.
    std::vector<std::string> removed; ///< Ids of elements that are gone.

    bool operator==(const config_patch &) const = default;
};

} // namespace mustardtrail::config

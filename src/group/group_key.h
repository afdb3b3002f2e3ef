#pragma once

#include "base/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace mustardtrail::group
{

using group_id = named_id<struct group_tag>; ///< Engines that serve one attempt together; named after the attempt.
using engine_group_id = named_id<struct engine_group_tag>; ///< Name of one generation of a group at an engine.

/// One generation of a group. A try on other engines gets the next generation, never an old one.
struct group_key {
    group_id group;
    std::uint64_t generation = 0;

    bool operator==(const group_key &) const = default;
    auto operator<=>(const group_key &other) const
    {
        return std::tie(group, generation) <=> std::tie(other.group, other.generation);
    }
};

/// Name under which engines hold the memory of this generation: "ATTEMPT.GENERATION".
engine_group_id engineGroupOf(const group_key &key);

} // namespace mustardtrail::group

#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <vector>

namespace mustardtrail::group
{

/// Part of a prompt that one engine prefills and holds until the answer is whole.
struct segment {
    backend_server_id backend;
    token_count firstToken = 0; ///< Position in the prompt.
    token_count tokens = 0; ///< Tokens of the prompt.
    token_count reservedTokens = 0; ///< Memory to reserve; the last segment includes the answer.

    bool operator==(const segment &) const = default;
};

/// Segments in the order of the prompt; the last engine decodes.
struct group_plan {
    data_centre_id dataCentre;
    std::vector<segment> segments;

    bool operator==(const group_plan &) const = default;
};

} // namespace mustardtrail::group

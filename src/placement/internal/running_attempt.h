#pragma once

#include "placement/work_item.h"

#include <optional>

namespace mustardtrail::placement
{

/// An attempt that was sent to a backend server.
struct running_attempt {
    work_item work;
    int priority = 0;
    time_point sentAt{};
    time_point expectedFirstToken{};
    token_count generated = 0;
    bool firstTokenSeen = false;
    bool late = false; ///< The first token was or is far later than expected.
    std::optional<time_point> cancelledAt;
};

} // namespace mustardtrail::placement

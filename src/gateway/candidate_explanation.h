#pragma once

#include "gateway/placement_candidate.h"

#include <optional>
#include <string_view>

namespace mustardtrail::gateway
{

/// Why a placement chose a backend server or passed it over, with the figures.
struct candidate_explanation {
    placement_candidate candidate; ///< As known, without the prompts ahead.
    bool isChosen = false;
    /// Empty for a chosen one, otherwise one of `suspected`, `cold_limit`, `rate_limit`, `no_slot`, `no_memory`, `event_gap`, `slow`,
    /// `behind_others` (prompts ahead take or keep it), `too_few` (fits, but the request waits for more engines like it), `later`,
    /// `equal` (another one was drawn), `not_preferred` (as early, but kept for other work).
    std::string_view reason;
    /// Predicted time to the first event of a part there, behind the prompts ahead; not set for a service without a model.
    std::optional<std::chrono::microseconds> firstEvent;
    std::chrono::microseconds pendingPrefill{ 0 }; ///< At the engine's actual speed.
};

} // namespace mustardtrail::gateway

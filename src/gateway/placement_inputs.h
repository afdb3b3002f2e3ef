#pragma once

#include "gateway/fleet_state.h"
#include "gateway/placement_request.h"
#include "gateway/service_profile.h"
#include "gateway/waiting_prompt.h"

#include <optional>
#include <vector>

namespace mustardtrail::gateway
{

/// What a placement decision was made from.
struct placement_inputs {
    server_scope scope = server_scope::own_cell;
    std::vector<placement_candidate> candidates;
    std::optional<engine_profile> engine; ///< Not set for a service without a model; then `work` and the order do not count.
    placement_request work;
    std::optional<waiting_prompt> place; ///< In the waiting order of all instances; not set if the request has none.
    std::vector<waiting_prompt> ahead; ///< Before it in that order; at most `maxPlacedAhead`.
};

} // namespace mustardtrail::gateway

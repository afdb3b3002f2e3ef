#pragma once

#include "gateway/candidate_explanation.h"
#include "gateway/request_placement.h"

namespace mustardtrail::gateway
{

/// Where a request would be sent now, and why.
struct placement_explanation {
    placement_decision decision;
    placement_inputs inputs;
    /// Forecast of the capacity for a prompt that is not sent; nullopt for a service without a model.
    std::optional<room_forecast> room;
    std::vector<candidate_explanation> candidates;
};

/// Returns for each candidate its figures and why it was passed over, by the rules of the placement.
std::vector<candidate_explanation> explainCandidates(const placement_inputs &inputs, const placement_decision &decision, time_point now);

/// Makes the decision of a request that arrives now, and explains it. Changes nothing in the state of the fleet. Where a placement draws
/// among equals, the same one is drawn each time.
placement_explanation explainPlacement(const fleet_state &state, const placement_subject &subject, time_point now);

} // namespace mustardtrail::gateway

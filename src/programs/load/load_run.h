#pragma once

#include "programs/load/load_options.h"
#include "programs/load/planned_request.h"
#include "programs/load/request_outcome.h"

#include <vector>

namespace mustardtrail::load
{

/// Sends every request of the plan at its time, whatever the answers do, and waits for all answers.
/// The outcomes stand in the order of the plan.
std::vector<request_outcome> runLoad(const load_options &options, const std::vector<planned_request> &plan);

} // namespace mustardtrail::load

#pragma once

#include "programs/load/load_options.h"
#include "programs/load/planned_request.h"

#include <vector>

namespace mustardtrail::load
{

/// Poisson arrivals of one phase, in order of time. The same options give the same plan.
std::vector<planned_request> planLoad(const load_options &options);

/// The same plan without the long prompts.
std::vector<planned_request> withoutLongPrompts(const std::vector<planned_request> &plan);

} // namespace mustardtrail::load

#pragma once

#include "programs/load/planned_request.h"
#include "programs/load/request_outcome.h"

#include <vector>

namespace mustardtrail::load
{

/// A plan with the outcomes of its requests, in the same order.
struct load_phase {
    std::vector<planned_request> plan;
    std::vector<request_outcome> outcomes;
};

} // namespace mustardtrail::load

#pragma once

#include "gateway/placement_candidate.h"

#include <optional>
#include <vector>

namespace mustardtrail::gateway
{

/// Server for a request to a plain service: the least loaded that is trusted; `point` over [0, 1) decides between equals.
/// Nothing when there is no server. Answers short calls on few slots, of which a failing server attracts most when it
/// answers fast.
std::optional<server_key> chooseServer(const std::vector<placement_candidate> &candidates, double point);

} // namespace mustardtrail::gateway

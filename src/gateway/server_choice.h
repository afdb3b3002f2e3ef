#pragma once

#include "gateway/placement_candidate.h"

#include <optional>
#include <vector>

namespace mustardtrail::gateway
{

/// Whether a request sent there would start at once.
bool hasFreeSlot(const placement_candidate &candidate);

/// Chooses the server for a request to a service without a model: the least loaded, with suspected servers and those at
/// their cold limit last, those at their rate limit never; `point` is a random number, uniform over [0, 1), that selects among equals.
/// Returns nullopt when there is no server. Guards against a failing server that answers fast, looks idle and so attracts most of the short
/// requests.
std::optional<server_key> chooseServer(const std::vector<placement_candidate> &candidates, double point);

} // namespace mustardtrail::gateway

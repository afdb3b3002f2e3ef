#pragma once

#include "base/clock.h"
#include "placement/owner_summary.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::host
{

/// One text for each pool of the summary, small enough to ride along with the peers' datagrams.
std::vector<std::string> encodeSummary(const placement::owner_summary &summary);

/// Reads the texts of one owner; those that cannot be read are left out.
placement::owner_summary decodeSummary(const instance_id &owner, const std::vector<std::string> &texts, time_point takenAt);

} // namespace mustardtrail::host

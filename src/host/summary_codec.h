#pragma once

#include "base/clock.h"
#include "host/pool_directory.h"
#include "placement/owner_summary.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::host
{

/// Longest text of one pool.
constexpr size_t maxPoolTextBytes = 29;

/// One text of at most maxPoolTextBytes printable characters for each pool of the summary: the pool's number and
/// varints of five bits a character. Token counts are rounded down to 64, rates to 16.
std::vector<std::string> encodeSummary(const placement::owner_summary &summary);

/// Reads the texts of one owner; those that cannot be read or name no pool of the directory are left out.
placement::owner_summary decodeSummary(
    const instance_id &owner, const std::vector<std::string> &texts, const pool_directory &pools, time_point takenAt);

} // namespace mustardtrail::host

#pragma once

#include "base/clock.h"
#include "host/pool_directory.h"
#include "placement/owner_summary.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::host
{

/// Longest encoding of one pool.
constexpr size_t maxEncodedPoolBytes = 29;

/// Encodes each pool of the summary in at most maxEncodedPoolBytes printable characters: the pool's number, then varints
/// with five bits per character. Token counts are rounded down to a multiple of 64, rates to a multiple of 16.
std::vector<std::string> encodeSummary(const placement::owner_summary &summary);

/// Decodes the texts of one owner; skips those that are malformed or whose pool is not in the directory.
placement::owner_summary decodeSummary(
    const instance_id &owner, const std::vector<std::string> &texts, const pool_directory &pools, time_point takenAt);

} // namespace mustardtrail::host

#pragma once

#include "gateway/latency_count.h"
#include "gateway/second_copy_use.h"

#include <vector>

namespace mustardtrail::gateway
{

namespace wire
{
class Report;
}

void writeSecondCopyUse(const std::vector<second_copy_use> &use, wire::Report &target);
/// Reads all entries; second_copy_account::recordReported skips those that cannot be used.
std::vector<second_copy_use> readSecondCopyUse(const wire::Report &source);

void writeLatencyCounts(const std::vector<latency_count> &counts, wire::Report &target);
/// Reads all entries; latency_quantiles::replaceReported skips those that cannot be used.
std::vector<latency_count> readLatencyCounts(const wire::Report &source);

} // namespace mustardtrail::gateway

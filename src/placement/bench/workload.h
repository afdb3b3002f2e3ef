#pragma once

#include "base/random_source.h"
#include "placement/work_item.h"

#include <chrono>
#include <string>
#include <vector>

namespace mustardtrail::placement::bench
{

/// One request of the workload, before its deadlines are set.
struct arrival {
    std::chrono::nanoseconds at{ 0 }; ///< From the start of the session.
    work_item work;
    std::chrono::milliseconds target{ 0 };
    bool smallCustomer = false;
    std::size_t entry = 0; ///< Entry instance chosen by the load balancer.
};

/// Poisson arrivals: 49 in 50 prompts of 1,000 to 100,000 tokens, 1 in 50 above; two large customers, eight small ones.
std::vector<arrival> makeWorkload(
    double requestsPerSecond, std::chrono::seconds length, std::size_t entries, bool withLong, std::uint64_t seed);

} // namespace mustardtrail::placement::bench

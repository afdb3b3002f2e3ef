#pragma once

#include "placement/bench/fleet.h"
#include "placement/bench/outcome.h"
#include "placement/placement_options.h"

#include <functional>

namespace mustardtrail::placement::bench
{

/// Chooses an engine by the requests that one entry instance itself has outstanding at each.
using baseline_policy = std::function<std::size_t(const std::vector<int> &ownOutstanding, random_source &random)>;

struct session_options {
    fleet_shape shape;
    std::chrono::seconds warmUp{ 60 };
    std::chrono::seconds measured{ 240 };
    std::chrono::seconds coolDown{ 75 }; ///< The load continues until all measured requests have ended.
    std::chrono::milliseconds reportInterval{ 1000 };
    std::chrono::milliseconds reportLag{ 500 };
    std::chrono::milliseconds summaryInterval{ 1000 };
    bool summaryWithAnswers = true; ///< Answers to forwarded requests carry the owner's summary as well.
    int unreportedColds = 0; ///< Engines that turn cold without reporting it, one after another.
    int restarts = 0; ///< Engines that restart, one after another.
    placement_options placement;
};

/// Runs the workload through owner_scheduler and router.
session_outcome runPlacement(const session_options &options, const std::vector<arrival> &workload);
/// Runs the workload with a policy that sends every request at once.
session_outcome runBaseline(const session_options &options, const std::vector<arrival> &workload, const baseline_policy &policy);

baseline_policy randomPolicy();
baseline_policy roundRobinPolicy();
baseline_policy leastOutstandingPolicy();
baseline_policy twoRandomChoicesPolicy();

/// Requests a second that one saturated engine completes, at the concurrency with the highest throughput.
double requestsPerSecondOfOneEngine(std::uint64_t seed);

} // namespace mustardtrail::placement::bench

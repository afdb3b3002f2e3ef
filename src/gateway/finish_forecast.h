#pragma once

#include "gateway/latency_quantiles.h"
#include "gateway/stop_schedule.h"

#include <string>

namespace mustardtrail::gateway
{

/// What is known of the time that a request needs from now on.
struct finish_forecast {
    std::chrono::microseconds firstEvent{ 0 }; ///< Predicted time to the first event of a stream, or to a plain answer.
    latency_estimate length; ///< Time from the first event to the end that nearly all streams like it need.
};

/// Records the time from the first event of a stream of the route to its end.
void recordLength(const std::string &route, std::chrono::microseconds length, latency_quantiles &lengths, time_point now);
/// Time that nearly all recent streams of the route needed from their first event to their end.
latency_estimate leastLengthOf(const std::string &route, const latency_quantiles &lengths, time_point now);
/// Whether a stopping instance may still finish the request: its answer begins before the final ones and ends before the process.
bool canFinish(const finish_forecast &forecast, const stop_schedule &schedule, time_point now);

} // namespace mustardtrail::gateway

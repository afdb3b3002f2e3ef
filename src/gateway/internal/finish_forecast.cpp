#include "gateway/finish_forecast.h"

namespace mustardtrail::gateway
{

namespace
{

constexpr double shorterStreams = 0.1; ///< Share of streams that need less time; more would be refused although they would have ended.
constexpr unsigned minLengths = 10; ///< Least number of streams that show a tenth.
constexpr std::int64_t allSizes = 0; ///< The length of a prompt does not tell that of its answer.

} // namespace

void recordLength(const std::string &route, std::chrono::microseconds length, latency_quantiles &lengths, time_point now)
{
    lengths.record(route, allSizes, length, now);
}

latency_estimate leastLengthOf(const std::string &route, const latency_quantiles &lengths, time_point now)
{
    return lengths.quantile(route, allSizes, shorterStreams, minLengths, now);
}

bool canFinish(const finish_forecast &forecast, const stop_schedule &schedule, time_point now)
{
    const time_point firstEventAt = now + std::chrono::duration_cast<time_point::duration>(forecast.firstEvent);
    if (firstEventAt > schedule.finalAnswersAt()) {
        return false;
    }
    const bool isLengthKnown = forecast.length.samples >= minLengths;
    return !isLengthKnown || firstEventAt + std::chrono::duration_cast<time_point::duration>(forecast.length.value) <= schedule.endsAt();
}

} // namespace mustardtrail::gateway

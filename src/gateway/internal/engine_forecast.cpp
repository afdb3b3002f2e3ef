#include "gateway/engine_forecast.h"

#include "gateway/engine_timing.h"
#include "gateway/internal/engine_fit.h"

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds rateWindow{ 1'000'000 }; // Of server_load::sentLastSecond.

// A part arrives at a random moment of the pass that runs, which holds about as much prefill as arrives in one pass; an engine
// without requests runs none.
microseconds restOfRunningPass(const server_load &load, microseconds step, microseconds others)
{
    return load.requests > 0 ? (step + others) / 2 : microseconds(0);
}

microseconds inTime(microseconds sent, microseconds window, milliseconds age)
{
    return microseconds(sent.count() * microseconds(age).count() / window.count());
}

// Prefill that others have sent since their last reports, if they go on as just before these reports. A summary of another cell has
// no prefill times, so there each send of the last second counts as one like this.
microseconds expectedPrefill(const placement_candidate &candidate, microseconds part)
{
    const server_load &load = candidate.load;
    if (candidate.isOfOtherCell) {
        return inTime(part * load.sentLastSecond, rateWindow, candidate.pictureAge);
    }
    return inTime(load.recentPrefill, load_tracker::recentWindow, candidate.pictureAge);
}

} // namespace

engine_forecast forecastAt(const placement_candidate &candidate, microseconds part, const engine_profile &engine)
{
    const microseconds step = batchStepTime(engine, candidate.load);
    const microseconds others = expectedPrefill(candidate, part);
    const microseconds running = restOfRunningPass(candidate.load, step, others);
    engine_forecast forecast;
    forecast.slowness = candidate.slowness;
    forecast.pictureAge = candidate.pictureAge;
    forecast.runningPass = slowedBy(running, candidate.slowness);
    forecast.pending = pendingAt(candidate);
    forecast.expectedOthers = slowedBy(others, candidate.slowness);
    forecast.part = slowedBy(part, candidate.slowness);
    forecast.step = slowedBy(step, candidate.slowness);
    forecast.link = candidate.linkDelay * 2;
    const microseconds network = roundTrip + forecast.link;
    forecast.firstEvent = forecast.runningPass + forecast.pending + forecast.expectedOthers + forecast.part + forecast.step + network;
    // Overdue prefill is what a slow engine shows, so a prediction with it would hide the slowness.
    forecast.published = running + candidate.load.pendingPrefill + others + part + step + network;
    forecast.publishedOthers = candidate.load.pendingPrefill + others;
    return forecast;
}

} // namespace mustardtrail::gateway

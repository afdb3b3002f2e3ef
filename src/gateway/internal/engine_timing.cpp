#include "gateway/engine_timing.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

std::chrono::microseconds fromMs(double milliseconds)
{
    // Longer times, of no request, would overflow sums with a time point.
    constexpr double longestMs = 24.0 * 3'600.0 * 1'000.0;
    return std::chrono::microseconds(static_cast<std::int64_t>(std::clamp(milliseconds, 0.0, longestMs) * 1'000.0));
}

} // namespace

std::chrono::microseconds prefillTime(const engine_profile &engine, std::int64_t promptTokens)
{
    const double tokens = static_cast<double>(promptTokens);
    const double millionPairs = tokens * tokens / 2.0 / 1e6;
    return fromMs(tokens / engine.prefillTokensPerMs + millionPairs * engine.attentionMsPerMillionPairs);
}

size_t bestPartCount(const engine_profile &engine, std::int64_t promptTokens)
{
    const auto parts = (prefillTime(engine, promptTokens) + partTarget - std::chrono::microseconds(1)) / partTarget;
    return std::clamp<size_t>(static_cast<size_t>(parts), 1, maxParts);
}

std::chrono::microseconds slowedBy(std::chrono::microseconds time, double slowness)
{
    return slowness > 1.0 ? std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * slowness)) : time;
}

std::chrono::microseconds batchStepTime(const engine_profile &engine, const server_load &load)
{
    const double context = static_cast<double>(load.contextTokens) / 1'000.0;
    const double step
        = engine.tokenStepMs + engine.tokenStepMsPerDecode * load.decodingRequests + engine.tokenStepMsPerThousandContextTokens * context;
    return fromMs(step * engine.tokenStepsPerBatchStep);
}

} // namespace mustardtrail::gateway

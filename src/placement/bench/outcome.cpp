#include "placement/bench/outcome.h"

#include <algorithm>

namespace mustardtrail::placement::bench
{

namespace
{

double milliseconds(std::chrono::nanoseconds value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

double percentile(std::vector<double> &sorted, double part)
{
    if (sorted.empty()) {
        return 0;
    }
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(part * static_cast<double>(sorted.size())))];
}

} // namespace

figures figuresOf(const std::vector<request_outcome> &requests, std::chrono::seconds measured)
{
    figures result;
    result.count = requests.size();
    std::vector<double> times;
    std::vector<double> refusals;
    double inTarget = 0;
    double refusedLate = 0;
    const double seconds = static_cast<double>(measured.count());
    for (const request_outcome &request : requests) {
        const double tokens = static_cast<double>(request.asked.work.promptTokens);
        result.tokensAsked += tokens / seconds;
        if (request.refusedAfter) {
            refusals.push_back(milliseconds(*request.refusedAfter));
            refusedLate += milliseconds(*request.refusedAfter) > lateRefusalPart * milliseconds(request.asked.target) ? 1 : 0;
        } else if (request.firstToken) {
            times.push_back(milliseconds(*request.firstToken));
            const bool met = *request.firstToken <= request.asked.target;
            inTarget += met ? 1 : 0;
            result.tokensInTarget += met ? tokens / seconds : 0;
        }
    }
    std::sort(times.begin(), times.end());
    std::sort(refusals.begin(), refusals.end());
    result.p50 = percentile(times, 0.5);
    result.p95 = percentile(times, 0.95);
    result.p99 = percentile(times, 0.99);
    result.latestRefusal = percentile(refusals, 0.99);
    const double all = std::max<double>(1, static_cast<double>(requests.size()));
    result.inTarget = inTarget / all;
    result.refusedLate = refusedLate / all;
    result.refused = static_cast<double>(refusals.size()) / all;
    return result;
}

} // namespace mustardtrail::placement::bench

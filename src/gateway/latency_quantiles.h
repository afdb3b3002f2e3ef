#pragma once

#include "base/clock.h"
#include "gateway/latency_count.h"
#include "gateway/peer_address.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// Latency that a share of recent sends did not exceed.
struct latency_estimate {
    unsigned samples = 0;
    std::chrono::microseconds value{ 0 }; ///< Meaningful with at least one sample; at most a tenth too high.
};

/// Time from a send to the answer, for a stream to its first event, of the last 10 s by route and size of the request: this
/// instance's own sends and those that the others reported.
class latency_quantiles
{
public:
    using route_filter = std::function<bool(route_key route)>;

    latency_quantiles();
    ~latency_quantiles();
    latency_quantiles(const latency_quantiles &) = delete;
    latency_quantiles &operator=(const latency_quantiles &) = delete;
    latency_quantiles(latency_quantiles &&) noexcept;
    latency_quantiles &operator=(latency_quantiles &&) noexcept;

    /// `size`: prompt tokens, or bytes of a request without a prompt.
    void record(const std::string &route, std::int64_t size, std::chrono::microseconds latency, time_point now);
    /// While there are fewer than `enoughSamples` of this size, those of the next larger sizes count too.
    latency_estimate quantile(const std::string &route, std::int64_t size, double share, unsigned enoughSamples, time_point now) const;

    /// Returns this instance's counts for its reports, of the `maxReportedRoutes` routes with the most sends. More than `maxReported`
    /// counts are merged into coarser ones, at their longer latency.
    std::vector<latency_count> ownForReport(time_point now) const;
    /// Replaces what another instance reported. Returns a description of each count that is not used.
    std::vector<std::string> replaceReported(
        peer_address from, const std::vector<latency_count> &counts, const route_filter &isKnownRoute, time_point now);
    void expire(time_point now);

    static constexpr std::chrono::milliseconds window{ 10'000 };
    static constexpr std::chrono::milliseconds sliceLength{ 1'000 }; ///< The window moves in steps of this length.
    static constexpr unsigned buckets = 116; ///< Each a tenth longer than the one before: finer than latencies vary.
    static constexpr unsigned sizeClasses = 16;
    static constexpr std::chrono::milliseconds reportInterval{ 2'000 };
    static constexpr std::chrono::milliseconds peerExpiry{ 5'000 }; ///< Two lost reports.
    static constexpr size_t maxReported = 64; ///< Counts in one report.
    static constexpr size_t maxReportedRoutes = 7; ///< With `maxReported` counts under 400 bytes.
    static constexpr unsigned maxReportedSends = 16'383; ///< Of one count: two bytes.

private:
    struct series;
    struct peer_counts {
        std::map<route_key, std::vector<latency_count>> byRoute;
        time_point receivedAt;
    };

    std::unique_ptr<series> m_series;
    std::map<peer_address, peer_counts> m_peers;
};

} // namespace mustardtrail::gateway

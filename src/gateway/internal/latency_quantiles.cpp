#include "gateway/latency_quantiles.h"

#include "base/hash.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <deque>
#include <set>

namespace mustardtrail::gateway
{

namespace
{

namespace histogram = boost::histogram;

constexpr double shortestMs = 1.0; ///< Shorter latencies count as this one.
constexpr double longestMs = 60'000.0; ///< Above any wait limit of a caller.
constexpr int bitsPerSize = 2; ///< Sizes within a factor of four share their samples.

auto makeScale()
{
    return histogram::axis::regular<double, histogram::axis::transform::log>(latency_quantiles::buckets, shortestMs, longestMs);
}

auto makeHistogram()
{
    return histogram::make_histogram(makeScale());
}

using latency_histogram = decltype(makeHistogram());
using sends_by_bucket = std::array<unsigned, latency_quantiles::buckets>;

unsigned sizeClassOf(std::int64_t size)
{
    const int width = std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(size, 0)));
    return std::min(static_cast<unsigned>(width / bitsPerSize), latency_quantiles::sizeClasses - 1);
}

struct slice {
    time_point startedAt;
    latency_histogram latencies = makeHistogram();
};

/// Returns the number of sends that were added.
unsigned addRecent(const std::deque<slice> &slices, time_point now, sends_by_bucket &sends)
{
    unsigned added = 0;
    for (const slice &part : slices) {
        if (now - part.startedAt >= latency_quantiles::window + latency_quantiles::sliceLength) {
            continue;
        }
        for (auto &&bin : histogram::indexed(part.latencies)) {
            const auto count = static_cast<unsigned>(*bin);
            sends.at(static_cast<size_t>(bin.index())) += count;
            added += count;
        }
    }
    return added;
}

std::chrono::microseconds quantileOf(const sends_by_bucket &sends, unsigned count, double share)
{
    const double rank = std::ceil(share * count);
    double below = 0.0;
    double edgeMs = longestMs;
    for (size_t bucket = 0; bucket < sends.size(); ++bucket) {
        below += sends.at(bucket);
        if (below >= rank) {
            edgeMs = makeScale().bin(static_cast<int>(bucket)).upper();
            break;
        }
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(edgeMs * 1'000.0));
}

std::string describe(const latency_count &count, std::string_view problem)
{
    return "route=" + std::to_string(count.route) + " size_class=" + std::to_string(count.sizeClass)
        + " bucket=" + std::to_string(count.bucket) + " sends=" + std::to_string(count.sends) + " problem=" + std::string(problem);
}

bool isPossible(const latency_count &count)
{
    const bool isOnScale = count.sizeClass < latency_quantiles::sizeClasses && count.bucket < latency_quantiles::buckets;
    return isOnScale && count.route != 0 && count.sends > 0 && count.sends <= latency_quantiles::maxReportedSends;
}

/// Merges the counts of each `step` adjacent buckets into the last of them.
std::vector<latency_count> coarsened(const std::vector<latency_count> &counts, unsigned step)
{
    std::vector<latency_count> merged;
    for (latency_count each : counts) {
        each.bucket = std::min(each.bucket / step * step + step - 1, latency_quantiles::buckets - 1);
        const bool isSame = !merged.empty() && merged.back().route == each.route && merged.back().sizeClass == each.sizeClass
            && merged.back().bucket == each.bucket;
        if (isSame) {
            merged.back().sends = std::min(merged.back().sends + each.sends, latency_quantiles::maxReportedSends);
        } else {
            merged.push_back(each);
        }
    }
    return merged;
}

} // namespace

struct latency_quantiles::series {
    using slices_by_size = std::map<unsigned, std::deque<slice>>; ///< Slices of each size class, oldest first.
    std::map<route_key, slices_by_size> byRoute;
};

latency_quantiles::latency_quantiles()
    : m_series(std::make_unique<series>())
{
}

latency_quantiles::~latency_quantiles() = default;
latency_quantiles::latency_quantiles(latency_quantiles &&) noexcept = default;
latency_quantiles &latency_quantiles::operator=(latency_quantiles &&) noexcept = default;

void latency_quantiles::record(const std::string &route, std::int64_t size, std::chrono::microseconds latency, time_point now)
{
    auto &slices = m_series->byRoute[hash64(route)][sizeClassOf(size)];
    while (!slices.empty() && now - slices.front().startedAt >= window + sliceLength) {
        slices.pop_front();
    }
    if (slices.empty() || now - slices.back().startedAt >= sliceLength) {
        slices.push_back({ now });
    }
    const double milliseconds = std::chrono::duration<double, std::milli>(latency).count();
    slices.back().latencies(std::clamp(milliseconds, shortestMs, std::nextafter(longestMs, 0.0)));
}

latency_estimate latency_quantiles::quantile(
    const std::string &route, std::int64_t size, double share, unsigned enoughSamples, time_point now) const
{
    const route_key key = hash64(route);
    const auto own = m_series->byRoute.find(key);
    std::vector<const std::vector<latency_count> *> reported;
    for (const auto &[address, peer] : m_peers) {
        const auto found = peer.byRoute.find(key);
        if (found != peer.byRoute.end() && now - peer.receivedAt <= peerExpiry) {
            reported.push_back(&found->second);
        }
    }
    latency_estimate estimate;
    sends_by_bucket sends{};
    for (unsigned sizeClass = sizeClassOf(size); sizeClass < sizeClasses && estimate.samples < enoughSamples; ++sizeClass) {
        if (own != m_series->byRoute.end() && own->second.contains(sizeClass)) {
            estimate.samples += addRecent(own->second.at(sizeClass), now, sends);
        }
        for (const auto *counts : reported) {
            for (const latency_count &each : *counts) {
                const unsigned added = each.sizeClass == sizeClass ? each.sends : 0;
                sends.at(each.bucket) += added;
                estimate.samples += added;
            }
        }
    }
    if (estimate.samples > 0) {
        estimate.value = quantileOf(sends, estimate.samples, share);
    }
    return estimate;
}

std::vector<latency_count> latency_quantiles::ownForReport(time_point now) const
{
    std::vector<std::pair<unsigned, std::vector<latency_count>>> routes;
    for (const auto &[route, sizes] : m_series->byRoute) {
        auto &[total, counts] = routes.emplace_back();
        for (const auto &[sizeClass, slices] : sizes) {
            sends_by_bucket sends{};
            total += addRecent(slices, now, sends);
            for (unsigned bucket = 0; bucket < buckets; ++bucket) {
                if (sends.at(bucket) > 0) {
                    counts.push_back({ route, sizeClass, bucket, std::min(sends.at(bucket), maxReportedSends) });
                }
            }
        }
    }
    std::stable_sort(routes.begin(), routes.end(), [](const auto &left, const auto &right) {
        return left.first > right.first;
    });
    routes.resize(std::min(routes.size(), maxReportedRoutes));
    std::vector<latency_count> all;
    for (const auto &[total, counts] : routes) {
        all.insert(all.end(), counts.begin(), counts.end());
    }
    std::vector<latency_count> reported = all;
    for (unsigned step = 2; reported.size() > maxReported && step / 2 < buckets; step *= 2) {
        reported = coarsened(all, step);
    }
    if (reported.size() > maxReported) { // One for each size of each route; those with the most sends matter most.
        std::stable_sort(reported.begin(), reported.end(), [](const latency_count &left, const latency_count &right) {
            return left.sends > right.sends;
        });
        reported.resize(maxReported);
    }
    return reported;
}

std::vector<std::string> latency_quantiles::replaceReported(
    peer_address from, const std::vector<latency_count> &counts, const route_filter &isKnownRoute, time_point now)
{
    std::vector<std::string> ignored;
    std::set<std::tuple<route_key, unsigned, unsigned>> used;
    peer_counts peer{ {}, now };
    for (const latency_count &each : counts) {
        if (used.size() >= maxReported) {
            ignored.push_back(describe(each, "too_many"));
            break;
        }
        if (!isPossible(each)) {
            ignored.push_back(describe(each, "impossible_figures"));
        } else if (!isKnownRoute(each.route)) {
            ignored.push_back(describe(each, "unknown_route"));
        } else if (!used.emplace(each.route, each.sizeClass, each.bucket).second) {
            ignored.push_back(describe(each, "repeated"));
        } else {
            peer.byRoute[each.route].push_back(each);
        }
    }
    m_peers[from] = std::move(peer);
    return ignored;
}

void latency_quantiles::expire(time_point now)
{
    std::erase_if(m_peers, [now](const auto &each) {
        return now - each.second.receivedAt > peerExpiry;
    });
}

} // namespace mustardtrail::gateway

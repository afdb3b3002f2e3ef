#include "gateway/internal/second_copy_codec.h"

#include "load_report.pb.h"

#include <algorithm>
#include <limits>
#include <map>

namespace mustardtrail::gateway
{

namespace
{

constexpr unsigned bitsPerBucket = 7; ///< A scale has at most 128 buckets.
constexpr unsigned bucketMask = (1U << bitsPerBucket) - 1;

std::uint32_t millisOf(std::chrono::milliseconds work)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(work.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

void writeSecondCopyUse(const std::vector<second_copy_use> &use, wire::Report &target)
{
    for (const second_copy_use &each : use) {
        wire::SecondCopyUse &entry = *target.add_second_copy_use();
        entry.set_service(each.service);
        entry.set_request_ms(millisOf(each.requests));
        entry.set_copy_ms(millisOf(each.copies));
        entry.set_copies(each.count);
    }
}

std::vector<second_copy_use> readSecondCopyUse(const wire::Report &source)
{
    std::vector<second_copy_use> use;
    for (const wire::SecondCopyUse &each : source.second_copy_use()) {
        use.push_back(
            { each.service(), std::chrono::milliseconds(each.request_ms()), std::chrono::milliseconds(each.copy_ms()), each.copies() });
    }
    return use;
}

void writeLatencyCounts(const std::vector<latency_count> &counts, wire::Report &target)
{
    std::map<route_key, wire::LatencyCounts *> byRoute;
    for (const latency_count &each : counts) {
        wire::LatencyCounts *&entry = byRoute[each.route];
        if (!entry) {
            entry = target.add_latency_counts();
            entry->set_route(each.route);
        }
        entry->add_buckets(each.sizeClass << bitsPerBucket | (each.bucket & bucketMask));
        entry->add_sends(each.sends);
    }
}

// A bucket without a number is read as one without sends, a number without a bucket as one off the scale: neither is used.
std::vector<latency_count> readLatencyCounts(const wire::Report &source)
{
    std::vector<latency_count> counts;
    for (const wire::LatencyCounts &route : source.latency_counts()) {
        const int entries = std::max(route.buckets_size(), route.sends_size());
        for (int index = 0; index < entries; ++index) {
            const std::uint32_t bucket = index < route.buckets_size() ? route.buckets(index) : std::numeric_limits<std::uint32_t>::max();
            const std::uint32_t sends = index < route.sends_size() ? route.sends(index) : 0;
            counts.push_back({ route.route(), bucket >> bitsPerBucket, bucket & bucketMask, sends });
        }
    }
    return counts;
}

} // namespace mustardtrail::gateway

#pragma once

#include <cstdint>

namespace mustardtrail::gateway
{

/// Identity of a route in messages between instances: hash of its name.
using route_key = std::uint64_t;

/// Number of an instance's recent sends with about the same size and latency.
struct latency_count {
    route_key route = 0;
    unsigned sizeClass = 0; ///< See `latency_quantiles::sizeClasses`.
    unsigned bucket = 0; ///< Of the logarithmic scale; see `latency_quantiles::buckets`.
    unsigned sends = 0;
};

} // namespace mustardtrail::gateway

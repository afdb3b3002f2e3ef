#pragma once

#include <cstdint>
#include <unordered_set>

namespace mustardtrail::placement
{

enum class cache_event_kind {
    stored,
    evicted,
};

/// One cache event of an engine, in the order of its sequence numbers.
struct cache_event {
    std::uint64_t sequence = 0;
    cache_event_kind kind = cache_event_kind::stored;
    std::uint64_t prefixHash = 0;
};

/// Prefixes that an engine is thought to hold.
class prefix_estimate
{
public:
    enum class outcome {
        applied,
        repeated, ///< Seen before; ignored.
        gap, ///< Events are missing: the estimate was voided.
        restarted, ///< Sequence numbers began anew: the engine lost its cache.
    };

    outcome apply(const cache_event &event);
    void clear();
    bool holds(std::uint64_t prefixHash) const;
    std::size_t size() const;

private:
    std::unordered_set<std::uint64_t> m_prefixes;
    std::uint64_t m_next = 0; ///< 0 before the first event.
};

} // namespace mustardtrail::placement

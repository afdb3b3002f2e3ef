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

/// Estimate of the prompt prefixes in an engine's cache, built from its cache events.
class prefix_estimate
{
public:
    enum class outcome {
        applied,
        repeated, ///< Received before; ignored.
        gap, ///< Events are missing: the estimate was cleared before this event was applied.
        restarted, ///< Sequence numbers restarted: the engine lost its cache.
    };

    outcome apply(const cache_event &event);
    void clear();
    bool holds(std::uint64_t prefixHash) const;
    std::size_t size() const;

private:
    std::unordered_set<std::uint64_t> m_prefixes;
    std::uint64_t m_next = 0; ///< Next expected sequence number; 0 before the first event.
};

} // namespace mustardtrail::placement

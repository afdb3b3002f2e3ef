#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace mustardtrail::orders
{

/// This node's share of the weight store's rate: the fleet's rate over the count of nodes, saved up before it is spent.
class weight_store_share
{
public:
    explicit weight_store_share(std::chrono::milliseconds countMemory = std::chrono::minutes(10));

    /// Nodes counts this one and every node of the live list, reachable or not. A fall in the count
    /// is believed only after it has lasted for countMemory.
    void update(std::int64_t fleetBytesPerSecond, std::int64_t nodes, time_point now);

    /// Starts to save for a load; when it can start, or nothing while the rate is unknown.
    std::optional<time_point> readyAt(std::int64_t bytes, time_point now);
    /// Spends what was saved; false when it is too little.
    bool take(std::int64_t bytes, time_point now);

    std::int64_t bytesPerSecond() const;
    std::int64_t savedBytes() const;

private:
    void refill(time_point now);

    std::chrono::milliseconds m_countMemory;
    std::int64_t m_fleetBytesPerSecond = 0;
    std::int64_t m_nodes = 1;
    time_point m_countSeenAt{};
    std::int64_t m_savedBytes = 0;
    std::int64_t m_wantedBytes = 0; ///< Saving stops here.
    time_point m_refilledAt{};
};

} // namespace mustardtrail::orders

#include "orders/weight_store_share.h"

#include <algorithm>

namespace mustardtrail::orders
{

namespace
{

constexpr std::int64_t millisecondsPerSecond = 1000;

} // namespace

weight_store_share::weight_store_share(std::chrono::milliseconds countMemory)
    : m_countMemory(countMemory)
{
}

void weight_store_share::update(std::int64_t fleetBytesPerSecond, std::int64_t nodes, time_point now)
{
    refill(now);
    m_fleetBytesPerSecond = fleetBytesPerSecond;
    // A partition may hide nodes that go on spending; the higher count holds until it is old.
    if (nodes >= m_nodes || now - m_countSeenAt >= m_countMemory) {
        m_nodes = std::max<std::int64_t>(nodes, 1);
        m_countSeenAt = now;
    }
}

std::optional<time_point> weight_store_share::readyAt(std::int64_t bytes, time_point now)
{
    refill(now);
    m_wantedBytes = std::max(m_wantedBytes, bytes);
    const std::int64_t missing = bytes - m_savedBytes;
    if (missing <= 0) {
        return now;
    }
    const std::int64_t rate = bytesPerSecond();
    if (rate <= 0) {
        return std::nullopt;
    }
    const std::int64_t wait = missing / rate * millisecondsPerSecond + (missing % rate * millisecondsPerSecond + rate - 1) / rate;
    return m_refilledAt + std::chrono::milliseconds(wait);
}

bool weight_store_share::take(std::int64_t bytes, time_point now)
{
    refill(now);
    if (m_savedBytes < bytes) {
        return false;
    }
    m_savedBytes -= bytes;
    m_wantedBytes = 0;
    return true;
}

std::int64_t weight_store_share::bytesPerSecond() const
{
    return m_fleetBytesPerSecond / m_nodes;
}

std::int64_t weight_store_share::savedBytes() const
{
    return m_savedBytes;
}

void weight_store_share::refill(time_point now)
{
    // Saving starts with a demand: idle nodes must not come back with a common burst.
    if (m_savedBytes >= m_wantedBytes) {
        m_refilledAt = now;
        return;
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_refilledAt);
    const std::int64_t seconds = elapsed.count() / millisecondsPerSecond;
    const std::int64_t rest = elapsed.count() % millisecondsPerSecond;
    const std::int64_t earned = bytesPerSecond() * seconds + bytesPerSecond() * rest / millisecondsPerSecond;
    if (earned <= 0) {
        return;
    }
    m_refilledAt += elapsed;
    m_savedBytes = std::min(m_savedBytes + earned, m_wantedBytes);
}

} // namespace mustardtrail::orders

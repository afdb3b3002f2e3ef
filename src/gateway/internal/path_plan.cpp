#include "gateway/path_plan.h"

#include <utility>

namespace mustardtrail::gateway
{

path_plan::path_plan(bool mayUseOwnPath, std::function<std::vector<peer_address>()> findRelays)
    : m_mayUseOwnPath(mayUseOwnPath)
    , m_findRelays(std::move(findRelays))
{
    if (mayUseOwnPath) {
        m_ways.emplace_back();
    }
}

std::optional<path_plan::way> path_plan::next()
{
    if (m_tried == m_ways.size() && m_findRelays) {
        const auto findRelays = std::exchange(m_findRelays, nullptr);
        for (const peer_address relay : findRelays()) {
            m_ways.push_back({ relay });
        }
        // A path that counts as lost is the last resort: it may have come back, or no other instance may be left.
        if (!m_mayUseOwnPath) {
            m_ways.emplace_back();
        }
    }
    return m_tried < m_ways.size() ? std::optional(m_ways[m_tried++]) : std::nullopt;
}

} // namespace mustardtrail::gateway

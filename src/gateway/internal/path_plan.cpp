#include "gateway/path_plan.h"

namespace mustardtrail::gateway
{

// A path that counts as lost is the last resort: it may have come back, or no other instance may be left.
path_plan::path_plan(bool mayUseOwnPath, std::vector<peer_address> relays)
{
    const way ownPath;
    if (mayUseOwnPath) {
        m_ways.push_back(ownPath);
    }
    for (const peer_address relay : relays) {
        m_ways.push_back({ relay });
    }
    if (!mayUseOwnPath) {
        m_ways.push_back(ownPath);
    }
}

std::optional<path_plan::way> path_plan::next()
{
    return m_tried < m_ways.size() ? std::optional(m_ways[m_tried++]) : std::nullopt;
}

} // namespace mustardtrail::gateway

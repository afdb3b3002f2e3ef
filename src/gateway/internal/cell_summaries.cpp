#include "gateway/cell_summaries.h"

#include <algorithm>

namespace mustardtrail::gateway
{

namespace
{

constexpr std::chrono::minutes retention{ 1 };

} // namespace

bool cell_summaries::record(cell_summary summary)
{
    const auto known = m_latest.find(summary.cell);
    if (known != m_latest.end() && known->second.measuredAt >= summary.measuredAt) {
        return false;
    }
    m_latest[summary.cell] = std::move(summary);
    return true;
}

std::map<server_key, server_load> cell_summaries::loadsOf(const cell_id &cell, time_point now) const
{
    std::map<server_key, server_load> loads;
    const auto found = m_latest.find(cell);
    if (found == m_latest.end() || now - found->second.measuredAt > maxAge) {
        return loads;
    }
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - found->second.measuredAt);
    for (const server_summary &each : found->second.servers) {
        server_load load = each.load;
        load.pendingPrefill = std::max(load.pendingPrefill - age, std::chrono::microseconds(0));
        loads.emplace(each.server, load);
    }
    return loads;
}

void cell_summaries::expire(time_point now)
{
    std::erase_if(m_latest, [now](const auto &entry) {
        return now - entry.second.measuredAt > retention;
    });
}

} // namespace mustardtrail::gateway

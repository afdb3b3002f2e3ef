#include "gateway/server_trust.h"

#include <algorithm>

namespace mustardtrail::gateway
{

void server_trust::failed(server_key server, time_point now)
{
    record &entry = m_records[server];
    if (now < entry.until) {
        return;
    }
    entry.pause = std::clamp(entry.pause * 2, firstPause, longestPause);
    entry.until = now + entry.pause;
}

void server_trust::succeeded(server_key server)
{
    m_records.erase(server);
}

bool server_trust::isSuspect(server_key server, time_point now) const
{
    const auto found = m_records.find(server);
    return found != m_records.end() && now < found->second.until;
}

} // namespace mustardtrail::gateway

#include "gateway/quiet_servers.h"

#include <algorithm>

namespace mustardtrail::gateway
{

void quiet_servers::record(server_start_key server, time_point until)
{
    time_point &known = m_until[server];
    known = std::max(known, until);
}

bool quiet_servers::isQuiet(server_start_key server, time_point now) const
{
    return now < until(server);
}

time_point quiet_servers::until(server_start_key server) const
{
    const auto found = m_until.find(server);
    return found == m_until.end() ? time_point() : found->second;
}

void quiet_servers::expire(time_point now)
{
    std::erase_if(m_until, [now](const auto &entry) {
        return entry.second <= now;
    });
}

} // namespace mustardtrail::gateway

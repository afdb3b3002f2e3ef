#include "gateway/overtaken_servers.h"

namespace mustardtrail::gateway
{

void overtaken_servers::record(server_key server, time_point now)
{
    std::erase_if(m_overtakenAt, [&](const auto &each) {
        return now - each.second > maxAge;
    });
    m_overtakenAt[server] = now;
}

bool overtaken_servers::isSlow(server_key server, time_point now) const
{
    const auto found = m_overtakenAt.find(server);
    return found != m_overtakenAt.end() && now - found->second <= maxAge;
}

} // namespace mustardtrail::gateway

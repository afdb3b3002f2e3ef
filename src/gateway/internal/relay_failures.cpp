#include "gateway/relay_failures.h"

#include <algorithm>

namespace mustardtrail::gateway
{

void relay_failures::recordFailed(peer_address relay, time_point now)
{
    m_failedUntil[relay] = now + avoidance;
}

// What it lacks for one server, it most likely lacks for the others.
void relay_failures::recordHandedBack(peer_address relay, time_point now)
{
    recordFailed(relay, now);
}

void relay_failures::recordUnreached(peer_address relay, const endpoint &server, time_point now)
{
    m_unreachedUntil[relay][server] = now + avoidance;
}

bool relay_failures::hasFailed(peer_address relay, const endpoint &server, time_point now) const
{
    const auto failed = m_failedUntil.find(relay);
    if (failed != m_failedUntil.end() && now < failed->second) {
        return true;
    }
    const auto unreached = m_unreachedUntil.find(relay);
    if (unreached == m_unreachedUntil.end()) {
        return false;
    }
    const auto isRecent = [now](const auto &entry) {
        return now < entry.second;
    };
    const auto same = unreached->second.find(server);
    const bool isSame = same != unreached->second.end() && isRecent(*same);
    return isSame || std::count_if(unreached->second.begin(), unreached->second.end(), isRecent) >= serversForAll;
}

void relay_failures::expire(time_point now)
{
    std::erase_if(m_failedUntil, [now](const auto &entry) {
        return now >= entry.second;
    });
    for (auto &[relay, servers] : m_unreachedUntil) {
        std::erase_if(servers, [now](const auto &entry) {
            return now >= entry.second;
        });
    }
    std::erase_if(m_unreachedUntil, [](const auto &entry) {
        return entry.second.empty();
    });
}

} // namespace mustardtrail::gateway

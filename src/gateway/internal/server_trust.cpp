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

void server_trust::hear(const instance_id &peer, const std::vector<server_key> &suspects, time_point now)
{
    m_opinions[peer] = { suspects, now };
}

std::vector<server_key> server_trust::suspects(time_point now) const
{
    std::vector<server_key> found;
    for (const auto &[server, entry] : m_records) {
        if (now < entry.until) {
            found.push_back(server);
        }
    }
    return found;
}

void server_trust::heard(server_key server, time_point now)
{
    m_heardAt[server] = now;
}

bool server_trust::isTalking(server_key server, time_point now) const
{
    const auto found = m_heardAt.find(server);
    return found != m_heardAt.end() && now - found->second < talkAge;
}

bool server_trust::isSuspect(server_key server, time_point now) const
{
    const auto found = m_records.find(server);
    if (found != m_records.end() && now < found->second.until) {
        return true;
    }
    const auto count = std::count_if(m_opinions.begin(), m_opinions.end(), [&](const auto &entry) {
        const opinion &told = entry.second;
        return now - told.heardAt < opinionAge && std::find(told.suspects.begin(), told.suspects.end(), server) != told.suspects.end();
    });
    return static_cast<size_t>(count) >= opinions;
}

} // namespace mustardtrail::gateway

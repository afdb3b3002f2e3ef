#include "gateway/data_centre_suspicion.h"

namespace mustardtrail::gateway
{

void data_centre_suspicion::recordUnreachable(const data_centre_id &dataCentre, server_key server, time_point now)
{
    auto &failed = m_failedAt[dataCentre];
    failed[server] = now;
    std::erase_if(failed, [now](const auto &entry) {
        return now - entry.second > failureWindow;
    });
    if (failed.size() >= minUnreachableServers) {
        m_suspectedUntil[dataCentre] = now + suspicionDuration;
    }
}

void data_centre_suspicion::recordAnswer(const data_centre_id &dataCentre)
{
    m_failedAt.erase(dataCentre);
    m_suspectedUntil.erase(dataCentre);
}

bool data_centre_suspicion::isSuspected(const data_centre_id &dataCentre, time_point now) const
{
    const auto found = m_suspectedUntil.find(dataCentre);
    return found != m_suspectedUntil.end() && now < found->second;
}

} // namespace mustardtrail::gateway

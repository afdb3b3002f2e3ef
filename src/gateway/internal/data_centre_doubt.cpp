#include "gateway/data_centre_doubt.h"

namespace mustardtrail::gateway
{

void data_centre_doubt::unreachable(const data_centre_id &dataCentre, server_key server, time_point now)
{
    auto &failed = m_failedAt[dataCentre];
    failed[server] = now;
    std::erase_if(failed, [now](const auto &entry) {
        return now - entry.second > moment;
    });
    if (failed.size() >= servers) {
        m_doubtedUntil[dataCentre] = now + pause;
    }
}

void data_centre_doubt::heard(const data_centre_id &dataCentre)
{
    m_failedAt.erase(dataCentre);
    m_doubtedUntil.erase(dataCentre);
}

bool data_centre_doubt::isDoubted(const data_centre_id &dataCentre, time_point now) const
{
    const auto found = m_doubtedUntil.find(dataCentre);
    return found != m_doubtedUntil.end() && now < found->second;
}

} // namespace mustardtrail::gateway

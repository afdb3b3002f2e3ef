#include "gateway/server_sightings.h"

#include <algorithm>

namespace mustardtrail::gateway
{

using std::chrono::milliseconds;

void server_sightings::recordOwn(server_start_key server, time_point at, time_point now)
{
    const auto known = m_sightings.find(server);
    if (known == m_sightings.end() || known->second.at < at) {
        store(server, at, now);
    }
}

// Times grow by the network's delay at each hop, so a slightly later one may be what is known already.
bool server_sightings::recordHeard(const server_sighting &sighting, time_point now)
{
    const auto known = m_sightings.find(sighting.server);
    if (now - sighting.at > retention || (known != m_sightings.end() && sighting.at <= known->second.at + reportJitter)) {
        return false;
    }
    store(sighting.server, sighting.at, now);
    return true;
}

void server_sightings::store(server_start_key server, time_point at, time_point now)
{
    m_sightings[server] = { at, now };
    if (m_sightings.size() > maxSightings) {
        m_sightings.erase(std::min_element(m_sightings.begin(), m_sightings.end(), [](const auto &left, const auto &right) {
            return left.second.at < right.second.at;
        }));
    }
}

bool server_sightings::refutes(const crash_evidence &crash, bool isOwn) const
{
    const auto found = m_sightings.find(crash.server);
    const milliseconds uncertainty = isOwn ? milliseconds(0) : 2 * reportJitter;
    return found != m_sightings.end() && crash.at <= found->second.at + uncertainty;
}

void server_sightings::tellAgain(server_start_key server, time_point now)
{
    if (const auto known = m_sightings.find(server); known != m_sightings.end()) {
        known->second.changedAt = now;
    }
}

std::vector<server_sighting> server_sightings::news(milliseconds maxAge, time_point now) const
{
    std::vector<server_sighting> news;
    for (const auto &[server, record] : m_sightings) {
        if (now - record.changedAt <= maxAge) {
            news.push_back({ server, record.at });
        }
    }
    return news;
}

void server_sightings::expire(time_point now)
{
    std::erase_if(m_sightings, [now](const auto &entry) {
        return now - entry.second.at > retention;
    });
}

} // namespace mustardtrail::gateway

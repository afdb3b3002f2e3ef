#include "gateway/peer_registry.h"

#include <algorithm>

namespace mustardtrail::gateway
{

peer_registry::peer_registry(peer_address self, data_centre_id ownDataCentre)
    : m_self(self)
    , m_ownDataCentre(std::move(ownDataCentre))
{
}

void peer_registry::addSeeds(const std::vector<peer_address> &seeds)
{
    for (const peer_address seed : seeds) {
        if (seed != m_self) {
            m_peers[seed].isSeed = true;
        }
    }
    m_largestFleetSize = std::max(m_largestFleetSize, m_peers.size() + 1);
}

bool peer_registry::recordReport(const load_report &report, time_point now)
{
    if (report.address == m_self) {
        return false;
    }
    peer &sender = m_peers[report.address];
    const bool isOld = sender.incarnation == report.incarnation && report.sequence <= sender.sequence;
    if (isOld) {
        return false;
    }
    sender.dataCentre = report.dataCentre;
    sender.incarnation = report.incarnation;
    sender.sequence = report.sequence;
    sender.lastReportAt = now;
    sender.clock = report.clock;
    for (const peer_address known : report.knownPeers) {
        if (known != m_self) {
            m_peers.try_emplace(known, peer{ data_centre_id(), 0, 0, std::nullopt, {}, now, false });
        }
    }
    if (report.isLeaving) {
        m_peers.erase(report.address);
    }
    m_largestFleetSize = std::max(m_largestFleetSize, m_peers.size() + 1);
    return true;
}

void peer_registry::expire(time_point now)
{
    std::erase_if(m_peers, [now](const auto &entry) {
        const peer &each = entry.second;
        return !each.isSeed && now - each.lastReportAt.value_or(each.discoveredAt) > peerRetention;
    });
}

std::vector<peer_address> peer_registry::reportTargets() const
{
    std::vector<peer_address> addresses;
    for (const auto &[address, each] : m_peers) {
        addresses.push_back(address);
    }
    return addresses;
}

std::vector<peer_address> peer_registry::alive(time_point now) const
{
    std::vector<peer_address> addresses;
    for (const auto &[address, each] : m_peers) {
        if (each.lastReportAt && now - *each.lastReportAt < peerTimeout) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<clock_echo> peer_registry::sameDataCentreClocks(time_point now) const
{
    std::vector<clock_echo> clocks;
    for (const auto &[address, each] : m_peers) {
        if (each.dataCentre == m_ownDataCentre && each.lastReportAt && now - *each.lastReportAt < peerTimeout) {
            clocks.push_back({ address, each.incarnation, each.clock });
        }
    }
    return clocks;
}

std::vector<peer_address> peer_registry::sameDataCentrePeers(time_point now) const
{
    std::vector<peer_address> addresses;
    for (const clock_echo &each : sameDataCentreClocks(now)) {
        addresses.push_back(each.address);
    }
    return addresses;
}

std::set<data_centre_id> peer_registry::unresponsiveDataCentres(time_point now) const
{
    std::map<data_centre_id, time_point> lastReportFrom;
    for (const auto &[address, each] : m_peers) {
        if (each.lastReportAt && !each.dataCentre.empty() && each.dataCentre != m_ownDataCentre) {
            time_point &last = lastReportFrom[each.dataCentre];
            last = std::max(last, *each.lastReportAt);
        }
    }
    std::set<data_centre_id> unresponsive;
    for (const auto &[dataCentre, last] : lastReportFrom) {
        if (now - last > dataCentreTimeout && now - last < maxDataCentreSuspicion) {
            unresponsive.insert(dataCentre);
        }
    }
    return unresponsive;
}

size_t peer_registry::largestFleetSize() const
{
    return m_largestFleetSize;
}

} // namespace mustardtrail::gateway

#include "gateway/peer_book.h"

#include <algorithm>

namespace mustardtrail::gateway
{

peer_book::peer_book(peer_address self, data_centre_id ownDataCentre)
    : m_self(self)
    , m_ownDataCentre(std::move(ownDataCentre))
{
}

void peer_book::addSeeds(const std::vector<peer_address> &seeds)
{
    for (const peer_address seed : seeds) {
        if (seed != m_self) {
            m_peers[seed].isSeed = true;
        }
    }
    m_largest = std::max(m_largest, m_peers.size() + 1);
}

bool peer_book::hear(const load_report &report, time_point now)
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
    sender.heardAt = now;
    sender.clock = report.clock;
    for (const peer_address known : report.knownPeers) {
        if (known != m_self) {
            m_peers.try_emplace(known, peer{ data_centre_id(), 0, 0, std::nullopt, {}, now, false });
        }
    }
    if (report.isLeaving) {
        m_peers.erase(report.address);
    }
    m_largest = std::max(m_largest, m_peers.size() + 1);
    return true;
}

void peer_book::expire(time_point now)
{
    std::erase_if(m_peers, [now](const auto &entry) {
        const peer &each = entry.second;
        return !each.isSeed && now - each.heardAt.value_or(each.learntAt) > memory;
    });
}

std::vector<peer_address> peer_book::targets() const
{
    std::vector<peer_address> addresses;
    for (const auto &[address, each] : m_peers) {
        addresses.push_back(address);
    }
    return addresses;
}

std::vector<peer_address> peer_book::alive(time_point now) const
{
    std::vector<peer_address> addresses;
    for (const auto &[address, each] : m_peers) {
        if (each.heardAt && now - *each.heardAt < silence) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<clock_echo> peer_book::neighbourClocks(time_point now) const
{
    std::vector<clock_echo> clocks;
    for (const auto &[address, each] : m_peers) {
        if (each.dataCentre == m_ownDataCentre && each.heardAt && now - *each.heardAt < silence) {
            clocks.push_back({ address, each.incarnation, each.clock });
        }
    }
    return clocks;
}

std::vector<peer_address> peer_book::neighbours(time_point now) const
{
    std::vector<peer_address> addresses;
    for (const clock_echo &each : neighbourClocks(now)) {
        addresses.push_back(each.address);
    }
    return addresses;
}

std::set<data_centre_id> peer_book::silentDataCentres(time_point now) const
{
    std::map<data_centre_id, time_point> lastHeard;
    for (const auto &[address, each] : m_peers) {
        if (each.heardAt && !each.dataCentre.empty() && each.dataCentre != m_ownDataCentre) {
            time_point &last = lastHeard[each.dataCentre];
            last = std::max(last, *each.heardAt);
        }
    }
    std::set<data_centre_id> silent;
    for (const auto &[dataCentre, last] : lastHeard) {
        if (now - last > cutSilence && now - last < cutMemory) {
            silent.insert(dataCentre);
        }
    }
    return silent;
}

size_t peer_book::largestFleet() const
{
    return m_largest;
}

} // namespace mustardtrail::gateway

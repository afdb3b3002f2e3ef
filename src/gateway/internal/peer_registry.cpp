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
    updateFleetSize();
}

void peer_registry::updateFleetSize()
{
    m_largestFleetSize = std::max(m_largestFleetSize, m_peers.size() + 1);
}

void peer_registry::setDataCentre(peer &instance, const data_centre_id &dataCentre)
{
    if (instance.dataCentre != dataCentre) {
        instance.dataCentre = dataCentre;
        m_cells.reset();
    }
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
    setDataCentre(sender, report.dataCentre);
    sender.incarnation = report.incarnation;
    sender.sequence = report.sequence;
    sender.lastReportAt = now;
    sender.clock = report.clock;
    sender.configVersion = report.configVersion;
    sender.hasLostServerPaths = report.hasLostServerPaths;
    recordSignOfLife(report.dataCentre, now);
    updateFleetSize();
    if (report.isLeaving) {
        remove(report.address);
    }
    return true;
}

void peer_registry::remove(peer_address instance)
{
    peer &leaving = m_peers[instance];
    const data_centre_id dataCentre = leaving.dataCentre;
    if (leaving.isSeed) {
        // Asked again from time to time: an instance that is started anew has the same address.
        leaving = peer();
        leaving.isSeed = true;
    } else {
        m_peers.erase(instance);
    }
    m_cells.reset();
    const bool isLast = std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return entry.second.dataCentre == dataCentre;
    });
    if (isLast) {
        m_lastSignOfLife.erase(dataCentre); // Stopped, not cut off.
    }
}

void peer_registry::recordCellInstances(const data_centre_id &dataCentre, const std::vector<peer_address> &instances, time_point now)
{
    addInstances({ { dataCentre, instances } }, now);
    for (const peer_address address : instances) {
        if (const auto found = m_peers.find(address); found != m_peers.end()) {
            found->second.lastListedAt = now;
        }
    }
}

void peer_registry::addInstances(const instance_list &instances, time_point now)
{
    for (const auto &[dataCentre, addresses] : instances) {
        for (const peer_address address : addresses) {
            if (address == m_self) {
                continue;
            }
            peer &added = m_peers[address];
            if (added.dataCentre.empty()) {
                added.discoveredAt = now;
                setDataCentre(added, dataCentre);
            }
        }
    }
    updateFleetSize();
}

void peer_registry::recordSignOfLife(const data_centre_id &dataCentre, time_point now)
{
    time_point &last = m_lastSignOfLife[dataCentre];
    last = std::max(last, now);
}

void peer_registry::expire(time_point now)
{
    const size_t removed = std::erase_if(m_peers, [now](const auto &entry) {
        const peer &each = entry.second;
        const time_point last = std::max({ each.lastReportAt.value_or(each.discoveredAt), each.lastListedAt.value_or(each.discoveredAt) });
        return !each.isSeed && now - last > peerRetention;
    });
    if (removed > 0) {
        m_cells.reset();
    }
}

const cell_map &peer_registry::cells() const
{
    if (!m_cells) {
        std::map<peer_address, data_centre_id> instances{ { m_self, m_ownDataCentre } };
        for (const auto &[address, each] : m_peers) {
            if (!each.dataCentre.empty()) {
                instances.emplace(address, each.dataCentre);
            }
        }
        m_cells.emplace(instances);
    }
    return *m_cells;
}

cell_id peer_registry::ownCell() const
{
    return cells().cellOf(m_self, m_ownDataCentre);
}

cell_id peer_registry::cellOf(peer_address instance) const
{
    const auto found = m_peers.find(instance);
    return found == m_peers.end() ? cell_id() : cells().cellOf(instance, found->second.dataCentre);
}

bool peer_registry::isHeard(const peer &instance, time_point now) const
{
    const bool hasReported = instance.lastReportAt && now - *instance.lastReportAt < peerTimeout;
    return hasReported || (instance.lastListedAt && now - *instance.lastListedAt < listedTimeout);
}

bool peer_registry::mayRespond(const peer &instance, time_point now) const
{
    const bool isNew = !instance.lastReportAt && !instance.lastListedAt && now - instance.discoveredAt < listedTimeout;
    return isNew || isHeard(instance, now);
}

bool peer_registry::isAlive(peer_address instance, time_point now) const
{
    const auto found = m_peers.find(instance);
    return instance == m_self || (found != m_peers.end() && isHeard(found->second, now));
}

std::vector<peer_address> peer_registry::registered(const cell_id &cell) const
{
    std::vector<peer_address> addresses = cells().members(cell);
    std::erase(addresses, m_self);
    return addresses;
}

std::vector<peer_address> peer_registry::reportTargets(const cell_id &cell, time_point now) const
{
    std::vector<peer_address> addresses = registered(cell);
    std::erase_if(addresses, [&](peer_address address) {
        return !mayRespond(m_peers.at(address), now);
    });
    return addresses;
}

instance_list peer_registry::alive(time_point now) const
{
    instance_list list;
    list[m_ownDataCentre].push_back(m_self);
    for (const auto &[address, each] : m_peers) {
        if (!each.dataCentre.empty() && isHeard(each, now)) {
            list[each.dataCentre].push_back(address);
        }
    }
    return list;
}

std::vector<peer_address> peer_registry::silentSeeds(time_point now) const
{
    std::vector<peer_address> addresses;
    for (const auto &[address, each] : m_peers) {
        if ((each.isSeed || each.dataCentre.empty()) && !isHeard(each, now)) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<clock_echo> peer_registry::storeRelayClocks(time_point now) const
{
    std::vector<clock_echo> clocks;
    for (const peer_address address : registered(ownCell())) {
        const peer &each = m_peers.at(address);
        if (each.dataCentre == m_ownDataCentre && each.lastReportAt && now - *each.lastReportAt < peerTimeout) {
            clocks.push_back({ address, each.incarnation, each.clock });
        }
    }
    return clocks;
}

std::vector<peer_address> peer_registry::storeRelayTargets(time_point now) const
{
    std::vector<peer_address> addresses;
    for (const clock_echo &each : storeRelayClocks(now)) {
        addresses.push_back(each.address);
    }
    return addresses;
}

std::set<data_centre_id> peer_registry::unresponsiveDataCentres(time_point now) const
{
    std::set<data_centre_id> unresponsive;
    for (const auto &[dataCentre, last] : m_lastSignOfLife) {
        const bool isSilent = now - last > dataCentreTimeout && now - last < maxDataCentreSuspicion;
        if (isSilent && !dataCentre.empty() && dataCentre != m_ownDataCentre) {
            unresponsive.insert(dataCentre);
        }
    }
    return unresponsive;
}

std::vector<relay_candidate> peer_registry::relayCandidates(time_point now) const
{
    const auto cutOff = unresponsiveDataCentres(now);
    std::vector<relay_candidate> candidates;
    for (const auto &[address, each] : m_peers) {
        if (isHeard(each, now) && !cutOff.contains(each.dataCentre)) {
            candidates.push_back({ address, each.dataCentre == m_ownDataCentre, each.hasLostServerPaths, false });
        }
    }
    return candidates;
}

std::uint64_t peer_registry::newestConfig(time_point now) const
{
    std::uint64_t newest = 0;
    for (const auto &[address, each] : m_peers) {
        if (each.lastReportAt && now - *each.lastReportAt < peerTimeout) {
            newest = std::max(newest, each.configVersion);
        }
    }
    return newest;
}

size_t peer_registry::largestFleetSize() const
{
    return m_largestFleetSize;
}

} // namespace mustardtrail::gateway

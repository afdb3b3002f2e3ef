#include "gateway/cell_map.h"

#include "base/hash.h"

#include <algorithm>
#include <string>

namespace mustardtrail::gateway
{

namespace
{

std::uint64_t weightOf(std::uint64_t key, const cell_id &cell)
{
    return rendezvousWeight(std::to_string(key), cell.dataCentre.str() + '/' + std::to_string(cell.index));
}

} // namespace

cell_map::cell_map(const std::map<peer_address, data_centre_id> &instances)
{
    if (instances.size() <= maxFleetInOneCell) {
        std::vector<peer_address> &all = m_cells[cell_id()];
        for (const auto &[address, dataCentre] : instances) {
            all.push_back(address);
        }
        return;
    }
    std::map<data_centre_id, size_t> sizes;
    for (const auto &[address, dataCentre] : instances) {
        ++sizes[dataCentre];
    }
    for (const auto &[dataCentre, size] : sizes) {
        m_cellCounts[dataCentre] = static_cast<unsigned>((size + maxCellSize - 1) / maxCellSize);
    }
    for (const auto &[address, dataCentre] : instances) {
        m_cells[cellWithin(dataCentre, address)].push_back(address);
    }
}

cell_id cell_map::cellWithin(const data_centre_id &dataCentre, std::uint64_t key) const
{
    cell_id best{ dataCentre, 0 };
    const unsigned count = m_cellCounts.at(dataCentre);
    for (unsigned index = 1; index < count; ++index) {
        const cell_id next{ dataCentre, index };
        if (weightOf(key, next) > weightOf(key, best)) {
            best = next;
        }
    }
    return best;
}

const std::map<cell_id, std::vector<peer_address>> &cell_map::cells() const
{
    return m_cells;
}

const std::vector<peer_address> &cell_map::members(const cell_id &cell) const
{
    static const std::vector<peer_address> none;
    const auto found = m_cells.find(cell);
    return found == m_cells.end() ? none : found->second;
}

cell_id cell_map::cellOf(peer_address instance, const data_centre_id &dataCentre) const
{
    return m_cellCounts.contains(dataCentre) ? cellWithin(dataCentre, instance) : cell_id();
}

cell_id cell_map::cellOfServer(server_key server, const data_centre_id &dataCentre) const
{
    if (m_cellCounts.contains(dataCentre)) {
        return cellWithin(dataCentre, server);
    }
    if (m_cells.empty()) {
        return {};
    }
    const auto best = std::max_element(m_cells.begin(), m_cells.end(), [server](const auto &left, const auto &right) {
        return weightOf(server, left.first) < weightOf(server, right.first);
    });
    return best->first;
}

} // namespace mustardtrail::gateway

#pragma once

#include "gateway/cell_id.h"
#include "gateway/peer_address.h"
#include "gateway/server_work.h"

#include <map>
#include <vector>

namespace mustardtrail::gateway
{

/// Divides the instances and the backend servers of a fleet into cells. Every instance works it out from its own list of
/// instances; lists that differ for a moment only make some reports go to more or fewer instances than needed.
///
/// A small fleet is one cell. In a larger one each data centre is a cell, or several of similar size when it is large itself.
class cell_map
{
public:
    cell_map() = default;
    explicit cell_map(const std::map<peer_address, data_centre_id> &instances);

    const std::map<cell_id, std::vector<peer_address>> &cells() const;
    /// Returns the instances of a cell, in order; empty for an unknown cell.
    const std::vector<peer_address> &members(const cell_id &cell) const;
    cell_id cellOf(peer_address instance, const data_centre_id &dataCentre) const;
    /// Returns the cell that keeps account of the server's load. A data centre without instances has its servers spread over
    /// all cells.
    cell_id cellOfServer(server_key server, const data_centre_id &dataCentre) const;

    static constexpr size_t maxFleetInOneCell
        = 96; ///< Up to about this size the pool of all servers is worth more than what reports to all cost.
    static constexpr size_t maxCellSize = 72; ///< Bounds the reports that an instance sends and receives.

private:
    cell_id cellWithin(const data_centre_id &dataCentre, std::uint64_t key) const;

    std::map<cell_id, std::vector<peer_address>> m_cells;
    std::map<data_centre_id, unsigned> m_cellCounts;
};

} // namespace mustardtrail::gateway

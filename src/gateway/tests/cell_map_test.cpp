#include "gateway/cell_map.h"

#include "testing/expect.h"

#include <set>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;

namespace
{

using instances = std::map<peer_address, data_centre_id>;

// Addresses are spread over the data centres in turn.
instances fleetOf(unsigned size, const std::vector<std::string> &dataCentres)
{
    instances fleet;
    for (unsigned index = 0; index < size; ++index) {
        fleet.emplace(100 + index, data_centre_id(dataCentres[index % dataCentres.size()]));
    }
    return fleet;
}

} // namespace

Test(cell_map, smallFleetIsOneCell)
{
    const instances fleet = fleetOf(cell_map::maxFleetInOneCell, { "a", "b", "c" });
    const cell_map cells(fleet);
    expectEqual(cells.cells().size(), 1U);
    cr_assert(cells.cellOf(100, data_centre_id("a")) == cells.cellOf(101, data_centre_id("b")));
    cr_assert(cells.cellOfServer(1, data_centre_id("a")) == cells.cellOfServer(2, data_centre_id("c")));
}

Test(cell_map, largeFleetHasACellForEachDataCentre)
{
    const instances fleet = fleetOf(150, { "a", "b", "c" });
    const cell_map cells(fleet);
    expectEqual(cells.cells().size(), 3U);
    const cell_id cellOfA = cells.cellOf(100, data_centre_id("a"));
    expectEqual(cellOfA.dataCentre.str(), "a");
    expectEqual(cells.members(cellOfA).size(), 50U);
    cr_assert(cells.cellOfServer(7, data_centre_id("a")) == cellOfA);
}

Test(cell_map, noCellGrowsWithTheFleet)
{
    for (const unsigned size : { 300U, 1'000U, 3'000U }) {
        const instances fleet = fleetOf(size, { "a", "b", "c", "d", "e" });
        const cell_map cells(fleet);
        size_t members = 0;
        for (const auto &[cell, addresses] : cells.cells()) {
            // Hashing spreads the instances of a data centre, so that one cell gets a few more than another.
            cr_assert_leq(addresses.size(), cell_map::maxCellSize * 3 / 2);
            members += addresses.size();
        }
        expectEqual(members, size_t(size));
    }
}

Test(cell_map, allInstancesAgreeOnTheCellOfAServer)
{
    const cell_map cells(fleetOf(500, { "a", "b" }));
    const cell_map same(fleetOf(500, { "a", "b" }));
    std::set<cell_id> used;
    for (server_key server = 1; server <= 100; ++server) {
        const cell_id cell = cells.cellOfServer(server, data_centre_id("a"));
        cr_assert(cell == same.cellOfServer(server, data_centre_id("a")));
        expectEqual(cell.dataCentre.str(), "a");
        used.insert(cell);
    }
    cr_assert_gt(used.size(), 1U);
}

Test(cell_map, serversOfADataCentreWithoutInstancesAreSpreadOverAllCells)
{
    const cell_map cells(fleetOf(150, { "a", "b", "c" }));
    std::set<cell_id> used;
    for (server_key server = 1; server <= 50; ++server) {
        const cell_id cell = cells.cellOfServer(server, data_centre_id("other"));
        cr_assert_not(cells.members(cell).empty());
        used.insert(cell);
    }
    expectEqual(used.size(), 3U);
}

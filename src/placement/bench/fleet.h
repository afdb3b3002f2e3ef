#pragma once

#include "membership/fleet_view.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace mustardtrail::placement::bench
{

/// Sizes and network delays of one simulated fleet.
struct fleet_shape {
    std::string name;
    std::size_t engines = 0;
    std::size_t entries = 0;
    std::chrono::microseconds betweenDataCentres{ 0 }; ///< One way.
    std::chrono::microseconds toClient{ 0 }; ///< One way.
};

const fleet_shape &blueMahoe();
const fleet_shape &bronces();

constexpr std::size_t dataCentreCount = 3;

std::size_t dataCentreOfEntry(std::size_t entry);
instance_id entryName(std::size_t entry);
backend_server_id engineName(std::size_t engine);
/// The view of one entry instance; all engines are in service and owned by rendezvous hash.
std::shared_ptr<membership::fleet_view> makeView(const fleet_shape &shape, std::size_t self, time_point ownedSince);

} // namespace mustardtrail::placement::bench

#pragma once

#include "config/backend_server.h"
#include "config/customer.h"
#include "config/data_centre.h"
#include "config/work_class.h"

#include <cstdint>
#include <map>
#include <set>

namespace mustardtrail::config
{

/// Whole published configuration at one revision; immutable once built.
struct configuration {
    std::int64_t revision = 0; ///< Only grows; 0 before anything was read.
    std::map<class_id, work_class> classes;
    std::map<customer_id, customer> customers;
    std::set<model_id> models;
    std::map<data_centre_id, data_centre> dataCentres;
    std::set<instance_id> instancesOutOfService; ///< Entry instances that get no new forwarded work and own nothing.
    std::map<backend_server_id, backend_server> backendServers;
    std::int64_t weightStoreBytesPerSecond = 0; ///< Shared by all nodes of the fleet.

    bool operator==(const configuration &) const = default;
};

} // namespace mustardtrail::config

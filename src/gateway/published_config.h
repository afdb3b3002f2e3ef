#pragma once

#include "gateway/published_limits.h"
#include "gateway/route.h"
#include "gateway/service_profile.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// One complete version of the configuration.
struct published_config {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<service_id, service_profile> services;
    bool needsKeys = false;
    std::map<std::string, customer_id> customerByKey;
    std::map<customer_id, int> customerPriorities; ///< 0 (most urgent) to 9, of the customers that have one.
    published_limits limits;
    std::vector<std::string> problems; ///< Fields that are not used as published, as key=value pairs for the log.
};

} // namespace mustardtrail::gateway

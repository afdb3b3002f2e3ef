#pragma once

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
};

} // namespace mustardtrail::gateway

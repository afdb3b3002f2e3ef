#pragma once

#include "base/error.h"
#include "config/configuration.h"
#include "request/request_events.h"

#include <set>

namespace mustardtrail::request
{

/// Class of the request when the configuration knows everything that the request names.
result<config::work_class> checkRequest(
    const caller_request &request, const config::configuration &config, const std::set<service_id> &services);

/// Names of the plain services in the configuration.
std::set<service_id> servicesOf(const config::configuration &config);

} // namespace mustardtrail::request

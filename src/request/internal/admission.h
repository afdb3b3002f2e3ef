#pragma once

#include "base/error.h"
#include "config/configuration.h"
#include "request/request_events.h"

#include <set>

namespace mustardtrail::request
{

/// Checks that class, customer, model or service and key of the request are valid; returns its class.
result<config::work_class> checkRequest(
    const caller_request &request, const config::configuration &config, const std::set<service_id> &services);

/// Ids of the plain services in the configuration.
std::set<service_id> servicesOf(const config::configuration &config);

} // namespace mustardtrail::request

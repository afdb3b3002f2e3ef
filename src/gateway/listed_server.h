#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

#include <chrono>
#include <cstdint>

namespace mustardtrail::gateway
{

/// Backend server as the published list shows it.
struct listed_server {
    backend_server_id id; ///< Of one start of the process, mostly.
    service_id service;
    endpoint address;
    data_centre_id dataCentre;
    unsigned slots = 1;
    bool isLeaving = false;
    std::chrono::milliseconds coldLeft{ 0 }; ///< At the time of the entry.
    std::uint64_t startedAt = 0; ///< Unix time in ms; tells two starts under one id apart. 0: unknown.
};

} // namespace mustardtrail::gateway

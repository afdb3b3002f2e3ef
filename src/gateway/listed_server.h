#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

#include <chrono>
#include <cstdint>

namespace mustardtrail::gateway
{

/// Entry of a backend server in the platform's published list.
struct listed_server {
    backend_server_id id; ///< Usually differs between two starts of the process.
    service_id service;
    endpoint address;
    data_centre_id dataCentre;
    unsigned slots = 1;
    bool isLeaving = false;
    std::chrono::milliseconds coldLeft{ 0 }; ///< Remaining warm-up time when the entry was written.
    std::uint64_t startedAt = 0; ///< Unix time in ms; distinguishes two starts under the same id. 0: unknown.
};

} // namespace mustardtrail::gateway

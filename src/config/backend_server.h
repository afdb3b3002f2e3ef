#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/units.h"

#include <string>
#include <vector>

namespace mustardtrail::config
{

enum class backend_server_kind {
    engine, ///< Serves one or more models.
    service, ///< Plain service.
};

/// Backend server with the properties that operators publish for it.
struct backend_server {
    backend_server_id id;
    backend_server_kind kind = backend_server_kind::engine;
    data_centre_id dataCentre;
    endpoint address;
    bool inService = true;
    std::vector<model_id> models; ///< Engines: what the engine is to have loaded.
    std::string modelVersion; ///< Engines: version that is to be loaded.
    service_id service; ///< Services: the name callers use.
    bool checksFencing = false; ///< Engine refuses an order that carries an old fencing number.
    token_count memoryTokens = 0; ///< Engines: KV memory.
    int coldRequests = 1; ///< Requests at once that a cold backend server bears.
    int warmRequests = 1; ///< Requests at once that a warm backend server bears.

    bool operator==(const backend_server &) const = default;
};

} // namespace mustardtrail::config

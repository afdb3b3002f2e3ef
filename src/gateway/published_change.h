#pragma once

#include "gateway/listed_server.h"
#include "gateway/published_config.h"

#include <memory>
#include <variant>

namespace mustardtrail::gateway
{

struct config_published {
    std::shared_ptr<const published_config> config;
};

struct server_listed {
    listed_server server;
};

struct server_unlisted {
    backend_server_id server;
};

struct data_centre_service_changed {
    data_centre_id dataCentre;
    bool isOutOfService = false; ///< Its backend servers receive no new requests.
};

/// An entry that cannot be parsed. It is logged, and the backend server that its key names counts as unlisted.
struct unreadable_entry {
    std::string key;
    std::string detail;
    backend_server_id server{}; ///< Empty for another kind of entry.
};

/// One change of the configuration or the server list published in the platform's store.
using published_change = std::variant<config_published, server_listed, server_unlisted, data_centre_service_changed, unreadable_entry>;

} // namespace mustardtrail::gateway

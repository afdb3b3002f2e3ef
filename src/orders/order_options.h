#pragma once

#include "config/backend_server.h"
#include "orders/engine_state.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace mustardtrail::orders
{

/// Bytes that loading a model reads from the weight store.
using weight_bytes_hook = std::function<std::int64_t(const loaded_model &)>;
/// Role an engine is to have; empty: any.
using role_hook = std::function<std::string(const config::backend_server &)>;

struct order_options {
    std::chrono::milliseconds liveListLag{ 5000 }; ///< Beyond the view lease, a new owner waits this long before its first order.
    std::chrono::milliseconds checkInterval{ 10000 }; ///< Between two reads of an engine that is as it should be.
    std::chrono::milliseconds stateTimeout{ 1000 };
    std::chrono::milliseconds orderTimeout{ 60000 };
    std::chrono::milliseconds settleInterval{ 1000 }; ///< Between an accepted order and the read that confirms it.
    std::chrono::milliseconds backoffBase{ 500 };
    std::chrono::milliseconds backoffLimit{ 30000 };
    weight_bytes_hook weightBytes;
    role_hook role;
    bool waitForOwnership = true; ///< Tests switch these off to show what each is for.
    bool keepLastCopy = true;
};

} // namespace mustardtrail::orders

#pragma once

#include "gateway/waiting_prompt.h"

#include <chrono>

namespace mustardtrail::gateway
{

/// What an instance tells the others of its work at the backend servers of one service in the last 10 s.
struct second_copy_use {
    service_key service = 0;
    std::chrono::milliseconds requests{ 0 }; ///< Work of the requests that may be copied.
    std::chrono::milliseconds copies{ 0 }; ///< Work of the copies, the running ones included.
    unsigned count = 0; ///< Of the copies.
};

} // namespace mustardtrail::gateway

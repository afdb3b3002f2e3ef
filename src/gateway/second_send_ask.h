#pragma once

#include "gateway/waiting_prompt.h"

namespace mustardtrail::gateway
{

/// Request of an instance for a loan of second sends, to each other instance of its cell.
struct second_send_ask {
    service_key service = 0;
    std::uint32_t number = 0; ///< Rises with each ask of one process.
    std::uint32_t milliSends = 0; ///< Thousandths of a second send, from each.
};

} // namespace mustardtrail::gateway

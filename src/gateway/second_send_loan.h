#pragma once

#include "gateway/waiting_prompt.h"

namespace mustardtrail::gateway
{

/// Answer to an ask: a part of the sender's own share that only the receiver may use.
struct second_send_loan {
    service_key service = 0;
    std::uint64_t borrower = 0; ///< Incarnation of the process that asked.
    std::uint32_t ask = 0; ///< Its number.
    std::uint32_t milliSends = 0;
};

} // namespace mustardtrail::gateway

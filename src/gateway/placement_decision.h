#pragma once

#include "gateway/server_work.h"

#include <string_view>
#include <vector>

namespace mustardtrail::gateway
{

/// One server's share of a prompt.
struct placed_part {
    server_key server = 0;
    std::chrono::microseconds prefillTime{ 0 };
    std::int64_t contextTokens = 0; ///< That a step of the answer looks back on here.
    std::int64_t memoryTokens = 0; ///< For a helper above 0 only with a reservation there.
};

/// Outcome of one look at where a request can go.
struct placement_decision {
    enum class action {
        send, ///< `parts` holds the server that answers, then its helpers.
        wait, ///< Look again soon.
        refuse, ///< Cannot be served in time; `retryAfter` says when there may be room.
    };

    action next = action::wait;
    std::vector<placed_part> parts;
    std::chrono::microseconds predictedFirstEvent{ 0 }; ///< Until the first event, from now.
    std::chrono::milliseconds retryAfter{ 0 };
    std::string_view reason;
};

} // namespace mustardtrail::gateway

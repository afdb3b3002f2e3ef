#pragma once

#include "gateway/engine_forecast.h"
#include "gateway/server_work.h"

#include <string_view>
#include <vector>

namespace mustardtrail::gateway
{

/// One server's share of a prompt.
struct placed_part {
    server_key server = 0;
    std::chrono::microseconds prefillTime{ 0 };
    std::int64_t contextTokens = 0; ///< Context on this server that each decode step reads.
    std::int64_t memoryTokens = 0; ///< KV cache; above 0 for a helper only with a reservation there.
};

/// Result of one placement attempt.
struct placement_decision {
    enum class action {
        send, ///< `parts` holds the answering server, then its helpers.
        wait, ///< Try again soon.
        refuse, ///< Cannot be served in time; `retryAfter` is when capacity may be free.
    };

    action next = action::wait;
    std::vector<placed_part> parts;
    bool isOnTime = false; ///< The prediction meets the target of the first event; only with `send`.
    bool isWithoutCapacity = false; ///< No server has the slots and the memory now; only with `wait`.
    bool isServerUnfit = false; ///< The answering server is suspected or full, and was taken for want of another; only with `send`.
    std::chrono::microseconds predictedFirstEvent{ 0 }; ///< Time from now to the first event.
    engine_forecast forecast; ///< Of the part that is last to be done; only with `send`.
    std::chrono::milliseconds retryAfter{ 0 };
    std::string_view reason;
};

} // namespace mustardtrail::gateway

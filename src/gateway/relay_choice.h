#pragma once

#include "gateway/peer_address.h"

#include <cstddef>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// Another instance through which a request may be sent to a backend server.
struct relay_candidate {
    peer_address instance = 0;
    bool isNear = false; ///< In the own data centre.
    bool hasLostPaths = false; ///< Has lost paths to backend servers itself.
    bool hasFailed = false; ///< A send through it failed lately.
    bool hasHeardServer = false; ///< Since the server was last doubted.
};

/// Where the second relay of a send is taken from.
enum class relay_spread {
    same_order, ///< The next best.
    across, ///< Another data centre than the first: how far a cut reaches is not known yet.
};

/// Returns at most `maxRelays` instances in the order in which to try them. The same for the same server and sender, spread
/// evenly over servers and senders. Those of the own data centre go first, unless too few of them are left there for all that need one.
std::vector<peer_address> chooseRelays(const std::vector<relay_candidate> &candidates,
    const std::string &server,
    peer_address sender,
    relay_spread spread = relay_spread::same_order);

inline constexpr size_t maxRelays = 2; ///< For each send; the caller's time is short.
inline constexpr double maxSendersPerRelay = 1.0; ///< Whose load a relay carries beside its own, as all have equal shares of the callers.

} // namespace mustardtrail::gateway

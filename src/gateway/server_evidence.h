#pragma once

#include "base/clock.h"
#include "gateway/peer_address.h"
#include "gateway/server_work.h"

#include <optional>
#include <string_view>

namespace mustardtrail::gateway
{

/// What an instance saw of a backend server.
enum class server_sign {
    bytes, ///< Of this start of the server.
    other_start, ///< The server was started anew.
    refused, ///< The connection, by the machine of the server.
    reset, ///< The connection was closed or reset before an answer.
    silent,
    no_report, ///< An answer that tells nothing of the start, or the server has left the list.
    nobody_answered, ///< Neither on the own path nor through another instance.
};

/// What the evidence shows of one start of a server.
enum class server_life { runs, ended, unknown };

/// One observation of a start of a backend server: who saw what, when, over which path.
struct server_evidence {
    server_start_key server = 0;
    peer_address observer = 0;
    std::optional<peer_address> relay; ///< Without one: over the observer's own path.
    server_sign seen = server_sign::nobody_answered;
    time_point at{}; ///< The server was in this state then or later: when it was asked.
};

server_life lifeShownBy(const server_evidence &evidence);
std::string_view toString(server_life life);
std::string_view toString(server_sign seen);

} // namespace mustardtrail::gateway

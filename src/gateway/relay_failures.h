#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "gateway/peer_address.h"

#include <map>

namespace mustardtrail::gateway
{

/// Which instances failed lately as relays, and for which backend servers. Guards against trying one that is cut off itself for each
/// server in turn.
class relay_failures
{
public:
    /// The instance could not be reached, or ended a send.
    void recordFailed(peer_address relay, time_point now);
    /// The instance handed a send back: it is full, stops, or has lost its own path to the server.
    void recordHandedBack(peer_address relay, time_point now);
    /// The instance tried, and did not reach the server: the server's fault, or that of the path between them.
    void recordUnreached(peer_address relay, const endpoint &server, time_point now);
    /// Whether others had better go first for this server.
    bool hasFailed(peer_address relay, const endpoint &server, time_point now) const;
    void expire(time_point now);

    static constexpr std::chrono::milliseconds avoidance{ 1'000 }; ///< A few reports, which tell whether the instance is alive.
    static constexpr int serversForAll = 2; ///< Not reached through one instance: it is avoided for all.

private:
    std::map<peer_address, time_point> m_failedUntil;
    std::map<peer_address, std::map<endpoint, time_point>> m_unreachedUntil;
};

} // namespace mustardtrail::gateway

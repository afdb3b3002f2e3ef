#pragma once

#include "gateway/peer_address.h"

#include <functional>
#include <optional>
#include <vector>

namespace mustardtrail::gateway
{

/// Order in which one send tries the ways to a backend server. The next way may be tried only while nothing has been sent.
class path_plan
{
public:
    /// One way to the server.
    struct way {
        std::optional<peer_address> relay; ///< Without one: the own path.
    };

    /// `findRelays` is called when the first relay is needed, as most sends need none.
    path_plan(bool mayUseOwnPath, std::function<std::vector<peer_address>()> findRelays);

    /// Returns the next way to try; nullopt when all have failed.
    std::optional<way> next();

private:
    bool m_mayUseOwnPath;
    std::function<std::vector<peer_address>()> m_findRelays;
    std::vector<way> m_ways;
    size_t m_tried = 0;
};

} // namespace mustardtrail::gateway

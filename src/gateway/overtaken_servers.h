#pragma once

#include "base/clock.h"
#include "gateway/server_work.h"

#include <map>

namespace mustardtrail::gateway
{

/// Servers that were lately slower than a second copy sent elsewhere. Guards against sending copies to a server that is slow
/// itself and, as it is, has free slots.
class overtaken_servers
{
public:
    void record(server_key server, time_point now);
    bool isSlow(server_key server, time_point now) const;

    static constexpr std::chrono::milliseconds maxAge{ 5'000 }; ///< As for other observations of a server's speed.

private:
    std::map<server_key, time_point> m_overtakenAt;
};

} // namespace mustardtrail::gateway

#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/server_work.h"

#include <map>

namespace mustardtrail::gateway
{

/// Data centres that are probably cut off from here, judged by their backend servers: several that cannot be reached
/// within a moment, and none that answers. Answers a cut that refuses connections, where each request would otherwise
/// try one unreachable server after the other until the silence of the other instances tells of the cut.
class data_centre_suspicion
{
public:
    void recordUnreachable(const data_centre_id &dataCentre, server_key server, time_point now);
    /// A server there answered.
    void recordAnswer(const data_centre_id &dataCentre);
    bool isSuspected(const data_centre_id &dataCentre, time_point now) const;

    static constexpr size_t minUnreachableServers = 2; ///< One alone has rather crashed.
    static constexpr std::chrono::milliseconds failureWindow{ 300 }; ///< In which their failures count together; a few requests.
    static constexpr std::chrono::milliseconds suspicionDuration{
        1'000
    }; ///< Then one request tries again; the other instances' silence tells of a longer cut.

private:
    std::map<data_centre_id, std::map<server_key, time_point>> m_failedAt;
    std::map<data_centre_id, time_point> m_suspectedUntil;
};

} // namespace mustardtrail::gateway

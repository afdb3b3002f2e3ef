#pragma once

#include "base/clock.h"
#include "gateway/server_work.h"

#include <map>

namespace mustardtrail::gateway
{

/// Backend servers that asked this instance to send nothing for a while. Guards against an overloaded server that would have to
/// turn away request after request.
class quiet_servers
{
public:
    /// Records that the server wants nothing until then; a later end replaces an earlier one.
    void record(server_start_key server, time_point until);
    bool isQuiet(server_start_key server, time_point now) const;
    time_point until(server_start_key server) const;
    void expire(time_point now);

private:
    std::map<server_start_key, time_point> m_until;
};

} // namespace mustardtrail::gateway

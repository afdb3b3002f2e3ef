#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <map>

namespace mustardtrail::membership
{

/// Which datagram takes the load summaries along: one a second to each peer of the data centre.
class load_schedule
{
public:
    /// True when the summaries go along; they count as sent then.
    bool take(const instance_id &receiver, time_point now);

private:
    std::map<instance_id, time_point> m_sent;
    time_point m_clearedAt{};
};

} // namespace mustardtrail::membership

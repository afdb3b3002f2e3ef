#pragma once

#include "base/clock.h"
#include "gateway/server_work.h"

#include <map>

namespace mustardtrail::gateway
{

/// Engines that lately left an order for memory unanswered. Guards against placing one prompt after the other on an engine that is
/// silent for a moment: each would wait for the order's time-out.
class unanswered_orders
{
public:
    void recordUnanswered(server_key server, time_point now);
    void recordAnswered(server_key server);
    bool isSilent(server_key server, time_point now) const;

    static constexpr std::chrono::milliseconds maxAge{ 1'000 }; ///< A sound engine is rarely silent for longer.

private:
    std::map<server_key, time_point> m_unansweredAt;
};

} // namespace mustardtrail::gateway

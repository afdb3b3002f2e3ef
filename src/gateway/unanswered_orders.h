#pragma once

#include "base/clock.h"
#include "base/error_code.h"
#include "gateway/server_work.h"

#include <map>
#include <optional>

namespace mustardtrail::gateway
{

/// Engines that lately left an order for memory unanswered. Guards against placing one prompt after the other on an engine that is
/// silent for a moment: each would wait for the order's time-out.
class unanswered_orders
{
public:
    /// Records the end of an order with this time limit. `failure`: why it has no answer; nullopt if it has one. What this instance
    /// itself is the cause of, a path that it lost or its own stand-still, says nothing of the engine.
    void record(server_key server, std::optional<error_code> failure, time_point sentAt, std::chrono::milliseconds limit, time_point now);
    bool isSilent(server_key server, time_point now) const;

    static constexpr std::chrono::milliseconds maxAge{ 1'000 }; ///< A sound engine is rarely silent for longer.

private:
    std::map<server_key, time_point> m_unansweredAt;
};

} // namespace mustardtrail::gateway

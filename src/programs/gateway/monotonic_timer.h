#pragma once

#include "base/clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace mustardtrail::gateway
{

/// The clock of the decisions, for timers: steady_timer's stands still while the machine is suspended, and lags behind ever after.
struct system_timer_clock {
    using time_point = mustardtrail::time_point;
    using duration = time_point::duration;

    static time_point now()
    {
        return system_monotonic_clock().now();
    }
};

using monotonic_timer = boost::asio::basic_waitable_timer<system_timer_clock>;

} // namespace mustardtrail::gateway

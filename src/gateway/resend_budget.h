#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <deque>
#include <map>

namespace mustardtrail::gateway
{

/// Bound on sends beyond the first of each request, over the whole fleet and for each service.
struct resend_limits {
    double ratio = 0.0; ///< Of the requests in the window.
    std::chrono::milliseconds window{ 10'000 };
    double slack = 0.0; ///< Sends that the fleet may always have in a window.
};

/// This instance's share of the bound: its own requests count whole, the slack is divided by the instances known. Keeps
/// a fleet of failing servers from being loaded further by second sends, also when instances cannot hear each other. A
/// restarted instance has little slack for one window: after a restart of everything no instance knows what it spent
/// before, nor at first how many others there are.
class resend_budget
{
public:
    /// Why a request is sent again.
    enum class cause {
        refused, ///< It has not run; the caller could be told to come back.
        interrupted, ///< It may have run and is lost to the caller otherwise; may take all of the share.
    };

    resend_budget(resend_limits limits, time_point slackFrom);

    void countRequest(const service_id &service, time_point now);
    /// Whether tryTake would succeed.
    bool hasRoom(const service_id &service, cause why, time_point now, size_t instances);
    /// Counts a second send if there is room for it.
    bool tryTake(const service_id &service, cause why, time_point now, size_t instances);

private:
    struct service_window {
        std::deque<time_point> requests;
        std::deque<time_point> resends;
    };

    void forget(service_window &window, time_point now) const;
    double slackShare(time_point now, size_t instances) const;

    resend_limits m_limits;
    time_point m_slackFrom;
    std::map<service_id, service_window> m_services;
};

} // namespace mustardtrail::gateway

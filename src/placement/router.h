#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "membership/fleet_view.h"
#include "placement/owner_summary.h"
#include "placement/placement_options.h"
#include "placement/work_item.h"

#include <memory>
#include <vector>

#include <boost/json/value.hpp>

namespace mustardtrail::placement
{

/// Destination of an attempt.
struct route {
    instance_id target;
    backend_server_id backend; ///< Preferred for the prompt's prefix; the owner makes the final choice.
};

/// Instances and backend servers on which this request failed before.
struct route_exclusions {
    std::vector<instance_id> instances;
    std::vector<backend_server_id> backends;
};

/// Picks the owner to which an attempt is forwarded, using the fleet view and the owners' load summaries.
/// Not thread-safe.
class router
{
public:
    explicit router(placement_options options = {});
    ~router();
    router(const router &) = delete;
    router &operator=(const router &) = delete;

    void onView(std::shared_ptr<const membership::fleet_view> view, time_point now);
    void onSummary(const owner_summary &summary, time_point now);

    result<route> pick(const work_item &work, const route_exclusions &excluded, time_point now);

    boost::json::value dump(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace mustardtrail::placement

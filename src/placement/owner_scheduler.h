#pragma once

#include "base/error.h"
#include "membership/fleet_view.h"
#include "placement/engine_report.h"
#include "placement/owner_actions.h"
#include "placement/owner_summary.h"
#include "placement/placement_options.h"
#include "placement/prefix_estimate.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace mustardtrail::placement
{

/// Schedules attempts on the backend servers that this instance owns: admission, queueing and dispatch.
/// Not thread-safe. The caller passes the current time to every method and carries out the returned actions.
class owner_scheduler
{
public:
    explicit owner_scheduler(placement_options options = {});
    ~owner_scheduler();
    owner_scheduler(const owner_scheduler &) = delete;
    owner_scheduler &operator=(const owner_scheduler &) = delete;

    owner_action_list setView(std::shared_ptr<const membership::fleet_view> view, time_point now);

    /// Dispatches, queues or refuses the attempt. An attempt that is predicted to miss its target is refused at once.
    owner_action_list admit(const work_item &work, const std::vector<backend_server_id> &excluded, time_point now);
    /// Removes a queued attempt. A running one is cancelled at its backend server and stays counted until onFinished, onFailed
    /// or a report that no longer lists it.
    owner_action_list cancel(const attempt_id &attempt, time_point now);

    owner_action_list onAccepted(const attempt_id &attempt, time_point now);
    owner_action_list onFirstToken(const attempt_id &attempt, time_point now);
    owner_action_list onOutput(const attempt_id &attempt, token_count tokens, time_point now);
    owner_action_list onFinished(const attempt_id &attempt, time_point now);
    owner_action_list onFailed(const attempt_id &attempt, const error &failure, time_point now);

    owner_action_list onReport(const engine_report &report, time_point now);
    owner_action_list onCacheEvent(const backend_server_id &backend, const cache_event &event, time_point now);
    owner_action_list onTick(time_point now);
    /// Time of the next onTick call; nullopt while nothing is queued, running or held.
    std::optional<time_point> nextWake(time_point now) const;

    /// Holds KV memory for a group (a prompt processed by several engines) until the given time.
    /// Returns false when it does not fit or the backend server may not receive new work.
    bool holdMemory(const std::string &group, const backend_server_id &backend, token_count tokens, time_point until, time_point now);
    owner_action_list releaseMemory(const std::string &group, time_point now);

    owner_summary summary(time_point now) const;
    /// Summary of one pool; its list of pools is empty when this instance owns no backend server of it.
    owner_summary summary(const pool_key &pool, time_point now) const;
    boost::json::value dump(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace mustardtrail::placement

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

/// Decides what is sent to the backend servers that this instance owns, and when.
/// Not thread-safe; the host calls every method with the present time and carries out the actions.
class owner_scheduler
{
public:
    explicit owner_scheduler(placement_options options = {});
    ~owner_scheduler();
    owner_scheduler(const owner_scheduler &) = delete;
    owner_scheduler &operator=(const owner_scheduler &) = delete;

    owner_action_list setView(std::shared_ptr<const membership::fleet_view> view, time_point now);

    /// Dispatches, queues or refuses; a refusal comes at once.
    owner_action_list admit(const work_item &work, const std::vector<backend_server_id> &excluded, time_point now);
    /// A queued attempt is forgotten; a running one stays counted until onFinished, onFailed or a report without it.
    owner_action_list cancel(const attempt_id &attempt, time_point now);

    owner_action_list onAccepted(const attempt_id &attempt, time_point now);
    owner_action_list onFirstToken(const attempt_id &attempt, time_point now);
    owner_action_list onOutput(const attempt_id &attempt, token_count tokens, time_point now);
    owner_action_list onFinished(const attempt_id &attempt, time_point now);
    owner_action_list onFailed(const attempt_id &attempt, const error &failure, time_point now);

    owner_action_list onReport(const engine_report &report, time_point now);
    owner_action_list onCacheEvent(const backend_server_id &backend, const cache_event &event, time_point now);
    owner_action_list onTick(time_point now);
    /// When onTick is to be called next; nothing while there is nothing to wait for.
    std::optional<time_point> nextWake(time_point now) const;

    /// Sets KV memory aside for a prompt over several engines; ends by itself. False: it does not fit, or may not be sent to.
    bool holdMemory(const std::string &group, const backend_server_id &backend, token_count tokens, time_point until, time_point now);
    owner_action_list releaseMemory(const std::string &group, time_point now);

    owner_summary summary(time_point now) const;
    /// The same for one pool; no pool when this instance owns nothing of it.
    owner_summary summary(const pool_key &pool, time_point now) const;
    boost::json::value dump(time_point now) const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace mustardtrail::placement

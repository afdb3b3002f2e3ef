#pragma once

#include "placement/internal/pool_state.h"
#include "placement/owner_scheduler.h"

#include <map>
#include <unordered_map>

namespace mustardtrail::placement
{

/// Implementation of owner_scheduler.
class owner_scheduler::implementation
{
public:
    explicit implementation(placement_options options);

    void setView(std::shared_ptr<const membership::fleet_view> view, time_point now);
    void admit(const work_item &work, const std::vector<backend_server_id> &excluded, time_point now);
    void cancel(const attempt_id &attempt, time_point now);
    void firstToken(const attempt_id &attempt, time_point now);
    void output(const attempt_id &attempt, token_count tokens);
    void end(const attempt_id &attempt, std::optional<reset_reason> reason, time_point now);
    void report(const engine_report &report, time_point now);
    void cacheEvent(const backend_server_id &backend, const cache_event &event, time_point now);
    void tick(time_point now);
    std::optional<time_point> nextWake(time_point now) const;
    bool holdMemory(const std::string &group, const backend_server_id &backend, token_count tokens, time_point until, time_point now);
    void releaseMemory(const std::string &group, time_point now);
    owner_summary summary(time_point now);
    owner_summary summary(const pool_key &key, time_point now);
    boost::json::value dump(time_point now);

    owner_action_list takeActions();

private:
    std::optional<error> findRefusal(pool_state &pool, const queued_attempt &item, time_point now);
    int waitMargin(const work_item &work) const;
    bool mayDispatch(time_point now) const;
    void rebuildPools(time_point now);
    void dispatchQueued(pool_state &pool, backend_state *freedBackend, time_point now);
    void dispatchClaimed(pool_state &pool, time_point now);
    void dispatchPoolsOf(backend_state &backend, time_point now);
    void dispatchAllPools(time_point now);
    void dispatch(backend_state &backend, const queued_attempt &item, time_point now);
    void refuse(const attempt_id &attempt, error failure);
    void refuseOverdue(pool_state &pool, time_point now);
    void removeDrained();
    backend_state *backendOf(const attempt_id &attempt);
    owner_summary emptySummary(time_point now) const;
    pool_summary summaryOf(const pool_key &key, pool_state &pool, time_point now);
    boost::json::value dumpBackend(backend_state &backend, time_point now);
    boost::json::value dumpQueue(pool_state &pool, time_point now);

    placement_options m_options;
    std::shared_ptr<const membership::fleet_view> m_view;
    std::map<backend_server_id, std::unique_ptr<backend_state>> m_backends;
    std::map<pool_key, pool_state> m_pools;
    std::unordered_map<attempt_id, backend_state *> m_running;
    owner_action_list m_actions;
    time_point m_slowCheckedAt{};
};

} // namespace mustardtrail::placement

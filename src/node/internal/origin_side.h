#pragma once

#include "group/group_coordinator.h"
#include "node/entry_actions.h"
#include "node/entry_events.h"
#include "node/entry_options.h"
#include "node/internal/owner_side.h"
#include "node/internal/peer_calls.h"
#include "placement/router.h"
#include "request/key_home.h"
#include "request/request_core.h"

#include <boost/json/object.hpp>

#include <map>
#include <set>

namespace mustardtrail::node
{

/// Work of this instance for the callers that reached it: requests, choice of owners, hops, groups, keys.
class origin_side
{
public:
    origin_side(const entry_options &options, owner_side &owner);

    void onView(std::shared_ptr<const membership::fleet_view> view, time_point now, entry_actions &out);
    void onSummary(const placement::owner_summary &summary, time_point now);
    void onRequest(const request::request_event &event, time_point now, entry_actions &out);
    /// Event of an attempt, from a hop or from this instance as owner.
    void onAttempt(const attempt_event &event, time_point now, entry_actions &out);
    void onGroup(const group::group_event &event, time_point now, entry_actions &out);
    void onPeerAnswer(const peer_answered &event, time_point now, entry_actions &out);
    result<boost::json::value> onKeyCall(const peer_call &call, time_point now);
    void beginStop(time_point now, entry_actions &out);
    /// Hands the keys held here to the instances that are their homes next.
    void sendKeys(const std::vector<request::key_handover> &handovers, entry_actions &out);
    void handOverKeys(time_point now, entry_actions &out);
    void onTick(time_point now, entry_actions &out);
    std::optional<time_point> nextWake() const;

    size_t runningRequests() const;
    boost::json::object dump(time_point now) const;

private:
    struct group_request {
        request_id request;
        token_count deliveredTokens = 0; ///< By earlier attempts; the answer goes on after them.
        std::string deliveredText;
    };
    struct group_run {
        attempt_id attempt; ///< As request_core knows it.
        request_id request;
        group::group_key key;
        bool delivered = false;
    };

    result<instance_id> chooseOwner(const placement::work_item &work,
        const std::vector<backend_server_id> &backends,
        const std::vector<instance_id> &instances,
        time_point now);
    bool needsGroup(const placement::work_item &work) const;
    /// Best guess of an engine's free KV memory; its owner has the last word.
    std::optional<token_count> freeTokens(const backend_server_id &backend) const;

    void carryOut(const std::vector<request::request_action> &actions, time_point now, entry_actions &out);
    void carryOut(const request::start_attempt &action, time_point now, entry_actions &out);
    void carryOut(const request::cancel_attempt &action, time_point now, entry_actions &out);
    void carryOut(const request::send_key_claim &action, time_point now, entry_actions &out);
    void carryOut(const request::send_key_outcome &action, time_point now, entry_actions &out);

    void carryOut(const group::group_actions &actions, time_point now, entry_actions &out);
    void carryOut(const group::reserve_at_owner &action, time_point now, entry_actions &out);
    void carryOut(const group::release_at_owner &action, time_point now, entry_actions &out);
    void carryOut(const group::start_completion &action, time_point now, entry_actions &out);
    void carryOut(const group::cancel_completion &action, time_point now, entry_actions &out);
    void carryOut(const group::fail_group &action, time_point now, entry_actions &out);
    template<typename kv_call> void carryOutEngineCall(const kv_call &action, time_point now, entry_actions &out);

    void handOver(const hop_attempt &attempt, const instance_id &target, time_point now, entry_actions &out);
    void stopAttempt(const attempt_id &attempt, time_point now, entry_actions &out);
    void onGroupAttempt(const attempt_event &event, time_point now, entry_actions &out);
    std::optional<endpoint> addressOf(const instance_id &instance) const;
    endpoint backendAddress(const backend_server_id &backend) const;

    entry_options m_options;
    owner_side &m_owner;
    std::shared_ptr<const membership::fleet_view> m_view;
    placement::router m_router;
    request::request_core m_core;
    request::key_home m_keys;
    group::group_coordinator m_groups;
    peer_calls m_calls;
    std::map<instance_id, std::map<placement::pool_key, placement::pool_summary>> m_summaries; ///< Latest of each pool.
    std::map<attempt_id, group_request> m_groupRequests; ///< Attempts that run as a group.
    std::map<attempt_id, group_run> m_groupRuns; ///< By the attempt id at the owner.
    std::set<attempt_id> m_hops; ///< Attempts at other instances.
    entry_actions *m_out = nullptr; ///< Where hooks of peer answers put their actions.
};

} // namespace mustardtrail::node

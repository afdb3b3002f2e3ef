#pragma once

#include "base/rcu_cell.h"
#include "config/config_store.h"
#include "host/pool_directory.h"
#include "http/client.h"
#include "membership/view_source.h"
#include "node/entry_node.h"
#include "programs/entry/entry_metrics.h"
#include "programs/entry/entry_settings.h"
#include "programs/entry/sessions.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace mustardtrail::entry
{

class attempt_link;

/// Runs one entry_node on a strand: feeds it events, keeps its clock, carries out its actions. Holds no rule.
class entry_host
{
public:
    entry_host(boost::asio::io_context &context, entry_settings settings, entry_metrics &metrics);
    ~entry_host();

    /// The strand of the node; all methods below run on it unless said otherwise.
    boost::asio::any_io_executor strand() const;

    void addCaller(const request::caller_request &request, caller_session session);
    void callerGone(const request_id &request);
    void addHop(const node::hop_attempt &attempt, hop_session session);
    void hopGone(const attempt_id &attempt);
    void handle(const node::entry_event &event);
    /// Answers a JSON-RPC request of another instance.
    std::string handleRpc(const std::string &text);
    void start();
    /// Planned stop, first step: the balancer is told to send no more.
    void markNotReady();
    /// Planned stop, second step: new requests are refused.
    void beginStop();
    /// Planned stop, last step: nothing runs any more.
    void endStop();

    /// Any thread that holds an rcu_thread.
    std::shared_ptr<const membership::fleet_view> view() const;
    bool isStopping() const;
    size_t runningRequests() const;
    /// State of the node without the view of the fleet, whose size grows with the fleet.
    boost::json::object nodeState() const;
    boost::json::object dump() const;
    const entry_settings &settings() const;
    const monotonic_clock &clock() const;

    /// Bytes that wait for the reader of an attempt's answer, a caller or a hop.
    size_t waitingBytes(const attempt_id &attempt) const;
    http::client &httpClient();
    const host::pool_directory &pools() const;

private:
    friend class attempt_link;
    struct rpc_parts;

    void carryOut(const node::entry_actions &actions);
    void carryOut(const request::relay_output &action);
    void carryOut(const request::complete_request &action);
    void carryOut(const request::fail_request &action);
    void carryOut(const node::forward_attempt &action);
    void carryOut(const node::close_hop &action);
    void carryOut(const node::open_backend &action);
    void carryOut(const node::resume_backend &action);
    void carryOut(const node::cancel_backend &action);
    void carryOut(const node::reply_on_hop &action);
    void carryOut(const node::call_peer &action);
    void carryOut(const node::peer_answer &action);
    void carryOut(const node::read_engine &action);
    void carryOut(const node::call_engine &action);
    void carryOut(const node::release_group &action);
    void carryOut(const node::publish_summary &action);

    void armTimer();
    void forgetLink(const attempt_id &attempt, const std::shared_ptr<attempt_link> &link);
    boost::asio::awaitable<void> followView();
    boost::asio::awaitable<void> askView();
    boost::json::object viewParameters(const membership::view_question &question) const;
    bool takeView(const boost::json::object &answer, const membership::view_question &question, time_point askedAt);
    std::shared_ptr<const membership::fleet_view> viewFrom(
        const boost::json::object &answer, const membership::view_question &question, time_point askedAt);
    void takeSummaries(const boost::json::object &answer, time_point askedAt);
    std::shared_ptr<const payload> payloadOf(const attempt_id &attempt, const request_id &request) const;
    void endCaller(const request_id &request, caller_event event);

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    entry_settings m_settings;
    entry_metrics &m_metrics;
    system_monotonic_clock m_clock;
    node::entry_node m_node;
    http::client m_client;
    config::config_store m_config;
    rcu_cell<membership::fleet_view> m_view;
    boost::asio::steady_timer m_timer;
    std::optional<time_point> m_timerAt;
    std::unordered_map<request_id, caller_session> m_callers;
    std::unordered_map<attempt_id, hop_session> m_hops;
    std::unordered_map<attempt_id, request_id> m_attemptRequests; ///< Attempts that answer a caller of this instance.
    std::unordered_map<attempt_id, std::shared_ptr<attempt_link>> m_links;
    std::unordered_map<request_id, std::shared_ptr<const std::string>> m_prompts; ///< Prompt texts that segments are cut from.
    membership::view_source m_viewSource;
    std::optional<instance_id> m_viewLender; ///< Of the view in use; nothing: the view of this instance.
    std::int64_t m_viewIncarnation = -1; ///< Of the view process that sent the view in use.
    std::int64_t m_viewVersion = -1;
    host::pool_directory m_pools;
    std::vector<std::string> m_summaries; ///< Own load, encoded for the peers.
    std::unique_ptr<rpc_parts> m_rpc;
    std::atomic<bool> m_stopping{ false };
    std::atomic<bool> m_viewIsOwn{ false };
};

} // namespace mustardtrail::entry

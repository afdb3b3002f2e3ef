#pragma once

#include "http/server.h"
#include "platform/instance_settings.h"
#include "programs/gateway/crash_verifier.h"
#include "programs/gateway/engine_pace_reader.h"
#include "programs/gateway/operator_policy.h"
#include "programs/gateway/peer_link.h"
#include "programs/gateway/relay_service.h"
#include "programs/gateway/store_reader.h"

#include <boost/asio/io_context.hpp>

namespace mustardtrail::gateway
{

/// Composition root of mustardtrail-gateway: one instance in one process, on one event loop.
class gateway_host
{
public:
    gateway_host(boost::asio::io_context &context,
        platform::instance_settings settings,
        http::simulated_partitions allowed = http::simulated_partitions::forbidden);

    /// Binds all addresses.
    result<void> open();
    void start();
    /// Adds the seeds of the new settings; any other change of the settings needs a restart.
    void reload(const platform::instance_settings &settings);
    /// Takes effect for requests that arrive later.
    void applyPolicy(const operator_policy &policy);
    /// Drains, then stops the event loop: accepts connections until the load balancer has had time to remove this instance,
    /// then finishes running requests within the stop grace period.
    boost::asio::awaitable<void> stop();
    /// Simulates the loss of this instance's own paths to these endpoints, for tests. False when this is forbidden.
    bool setPartitionedEndpoints(std::set<endpoint> endpoints);

private:
    boost::asio::awaitable<void> serveCaller(http::exchange &exchange);
    /// Answers a request of a caller that could not be read to its end.
    http::response_message refuseUnread(int status, std::string_view problem);
    /// Answers a request of a caller that is beyond a limit.
    http::response_message refuseBeyondLimit(const http::passed_limit &passed);
    boost::asio::awaitable<void> serveReadiness(http::exchange &exchange);
    boost::asio::awaitable<void> serveMetrics(http::exchange &exchange);
    boost::asio::awaitable<void> retryPlacements();
    boost::asio::awaitable<void> closeUnusableConnections();
    /// Gives the requests that are still being served their final answers.
    void endRequests();
    /// Returns whether requests were cut.
    bool cutRequests();
    bool isReady() const;
    void addSeeds(const std::vector<endpoint> &seeds);

    boost::asio::io_context &m_context;
    platform::instance_settings m_settings;
    system_monotonic_clock m_clock;
    random_source m_random;
    rate_limited_log m_log;
    gateway_metrics m_metrics;
    http::client m_client;
    fleet_state m_state;
    server_client m_servers;
    gateway_context m_shared;
    peer_link m_peerLink;
    store_reader m_storeReader;
    http::server m_callerServer;
    http::server m_readinessServer;
    http::server m_metricsServer;
    relay_service m_relayService;
    engine_pace_reader m_paceReader;
    crash_verifier m_crashVerifier;
    size_t m_activeRequests = 0; ///< Requests without a final answer.
    bool m_wasReady = false;
};

} // namespace mustardtrail::gateway

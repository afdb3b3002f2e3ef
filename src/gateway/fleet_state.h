#pragma once

#include "base/random_source.h"
#include "gateway/config_freshness.h"
#include "gateway/data_centre_suspicion.h"
#include "gateway/load_tracker.h"
#include "gateway/peer_registry.h"
#include "gateway/placement_candidate.h"
#include "gateway/published_change.h"
#include "gateway/resend_budget.h"
#include "gateway/route_table.h"
#include "gateway/server_directory.h"
#include "gateway/server_suspicion.h"

#include <functional>
#include <memory>
#include <set>

namespace mustardtrail::gateway
{

/// Limits of one deployment.
struct fleet_limits {
    resend_limits resend;
    time_point resendSlackFrom{}; ///< A window after a restart, as nothing is known of what was sent before.
    std::chrono::milliseconds maxConfigAge{ 0 }; ///< Requests with keys are refused when the configuration is not confirmed for this long.
};

/// Gets one line for each belief that changed: event name, subject, detail.
using fleet_event_log = std::function<void(std::string_view event, std::string_view subject, std::string_view detail)>;

/// All that one instance believes of the fleet: configuration, backend servers, their load, the other instances.
struct fleet_state {
    fleet_state(peer_address self, data_centre_id ownDataCentre, const fleet_limits &fleetLimits, fleet_event_log log);

    /// One change of what the platform publishes. Servers that are taken off the list stay until `keepUntil`.
    void apply(const published_change &change, time_point now, time_point keepUntil);
    /// A whole list: what it lacks is gone from `keepUntil` on.
    void applySnapshot(const std::vector<published_change> &list, time_point now, time_point keepUntil);
    void expire(time_point now);

    /// Servers of the service that may get a request, without the excluded ones.
    std::vector<placement_candidate> candidates(
        const service_id &service, const std::set<backend_server_id> &excluded, time_point now) const;
    const server_directory::known_server *findServer(server_key key) const;
    /// The server failed a request; `isUnreachable`: no way to it was found.
    void recordFailure(server_key server, bool isUnreachable, time_point now);
    /// An answer began to come from the server.
    void recordAnswer(server_key server);
    /// Whether requests that need a key may be served.
    bool mayServe(time_point now) const;

    fleet_limits limits;
    std::shared_ptr<const route_table> routes; ///< Null until the first configuration.
    config_freshness freshness;
    server_directory servers;
    load_tracker loads;
    server_suspicion serverSuspicion;
    data_centre_suspicion dataCentreSuspicion;
    resend_budget resends;
    peer_registry peers;

private:
    void applyConfig(const config_published &published);
    void applyServer(const listed_server &server, time_point now);
    bool isAtColdLimit(const server_directory::known_server &server, const server_load &load, time_point now) const;

    fleet_event_log m_log;
    std::map<server_key, backend_server_id> m_idByKey;
};

/// Key of a backend server in messages between instances.
server_key keyOf(const backend_server_id &id);

} // namespace mustardtrail::gateway

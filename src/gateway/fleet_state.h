#pragma once

#include "base/random_source.h"
#include "gateway/caller_limits.h"
#include "gateway/cell_summaries.h"
#include "gateway/config_freshness.h"
#include "gateway/customer_use.h"
#include "gateway/data_centre_suspicion.h"
#include "gateway/engine_forecast.h"
#include "gateway/engine_speeds.h"
#include "gateway/load_tracker.h"
#include "gateway/peer_registry.h"
#include "gateway/placement_candidate.h"
#include "gateway/prompt_quarantine.h"
#include "gateway/published_change.h"
#include "gateway/quiet_servers.h"
#include "gateway/resend_budget.h"
#include "gateway/route_table.h"
#include "gateway/second_copies.h"
#include "gateway/server_directory.h"
#include "gateway/server_paths.h"
#include "gateway/server_rate_limits.h"
#include "gateway/server_suspicion.h"
#include "gateway/unanswered_orders.h"
#include "gateway/waiting_prompts.h"

#include <functional>
#include <memory>
#include <set>

namespace mustardtrail::gateway
{

struct fleet_limits {
    resend_limits resend;
    time_point resendSlackFrom{}; ///< Start of the full slack; delayed after a restart, as earlier resends and loans are unknown.
    std::chrono::milliseconds maxConfigAge{ 0 }; ///< Requests that need a key are refused with an older configuration.
};

/// Which backend servers to consider for a request.
enum class server_scope {
    own_cell, ///< Their load is known as of the last milliseconds.
    fleet, ///< Also those of other cells, whose load is known from summaries.
};

/// Called for each change of the fleet state that is logged.
using fleet_event_log = std::function<void(std::string_view event, std::string_view subject, std::string_view detail)>;

/// One instance's view of the fleet: configuration, backend servers, their load and health, the other instances.
struct fleet_state {
    fleet_state(peer_address self, data_centre_id ownDataCentre, const fleet_limits &fleetLimits, fleet_event_log log);

    /// Applies one change published by the platform. A server that is no longer listed is kept until `keepUntil`.
    void apply(const published_change &change, time_point now, time_point keepUntil);
    /// Applies a full listing. Servers that it lacks are kept until `keepUntil`.
    void applySnapshot(const std::vector<published_change> &list, time_point now, time_point keepUntil);
    /// Applies the first full listing of a store that was restored from an older copy. What it undoes is kept until `keepUntil`,
    /// by when it has been written again; servers that had left are not used until they write their entry again.
    void applyRestoredSnapshot(const std::vector<published_change> &list, time_point now, time_point keepUntil);
    void expire(time_point now);

    /// Returns the servers of the service that may receive a request, except the excluded ones. Suspected servers are included
    /// and marked. Servers of other cells whose load is not known are included, as suspected, only when there are no others.
    std::vector<placement_candidate> candidates(
        const service_id &service, const std::set<backend_server_id> &excluded, server_scope scope, time_point now) const;
    const server_directory::known_server *findServer(server_key key) const;
    /// Records that this start of the server failed a request. `isUnreachable`: no connection to it could be opened.
    void recordFailure(server_key server, server_start_key start, bool isUnreachable, time_point now);
    /// Records that this start of the server announced to this instance that it leaves.
    void recordLeaving(server_key server, server_start_key start, time_point now);
    /// Records the servers that another instance knows to leave, as returned by `leavingServers` there.
    void recordLeavingServers(const std::vector<leaving_server_news> &servers, const instance_id &source, time_point now);
    /// Records the servers that another instance saw go, as returned by `departedServers` there. One that this instance only
    /// keeps because an outage of the store may have lost its entry is not used any more.
    void recordDepartedServers(const std::vector<server_start_key> &servers, const instance_id &source, time_point now);
    /// Records that this start of the server wants nothing from this instance for a while.
    void recordQuiet(server_key server, server_start_key start, std::chrono::milliseconds duration, time_point now);
    /// Returns when the first server of the service wants requests again, if all that could take them asked for quiet.
    std::optional<time_point> quietUntil(const service_id &service, time_point now) const;
    /// Servers whose leaving became known lately, for the other instances.
    std::vector<leaving_server_news> leavingServers(time_point now) const;
    /// Returns when the next request with these parts may be tried, unless this instance may try one now; nullopt if none of
    /// them is quarantined.
    std::optional<time_point> quarantinedUntil(const std::vector<prompt_part> &parts, time_point now) const;
    /// Servers that this instance saw go lately, for the other instances.
    std::vector<server_start_key> departedServers(time_point now) const;
    /// Records the limit that a server named in an answer to this instance; nullopt if it named none.
    void recordRateLimit(server_key server, server_start_key start, std::optional<double> requestsPerSecond, time_point now);
    /// Records what another instance told of servers that named a limit.
    void recordRateLimits(peer_address from, const std::vector<rate_limit_news> &news);
    /// Returns when this instance may send the next request to a server of the service, if all that could take one are at the limit
    /// that they named.
    std::optional<time_point> atLimitUntil(const service_id &service, time_point now) const;
    /// Records what another instance told of its customers' use of the engines. Damaged figures are logged and ignored.
    void recordCustomerUse(peer_address from, const instance_id &source, const std::vector<customer_prefill> &use, time_point now);
    /// Returns the use of the engines to report; nothing where no service is coordinated.
    std::vector<customer_prefill> reportedCustomerUse(time_point now) const;
    /// Records the pace that an engine reports of itself; above 1: slower than published. Logs a value that is no pace.
    void recordPace(server_key server, server_start_key start, double pace, time_point now);
    /// Records the first event of a send that its engine answered alone. Returns actual over predicted time.
    std::optional<double> recordFirstEvent(
        server_key server, server_start_key start, std::uint64_t send, const engine_forecast &forecast, time_point now);
    /// Records the engines that another instance observed to be slow.
    void recordSlowServers(peer_address from, const std::vector<slow_server_news> &news, time_point now);
    /// Records the work of requests and second copies that another instance reported. Unusable entries are logged and ignored.
    void recordSecondCopyUse(
        peer_address from, const instance_id &source, std::uint64_t incarnation, const std::vector<second_copy_use> &use, time_point now);
    /// Records the latencies that another instance reported. Unusable entries are logged and ignored.
    void recordLatencyCounts(peer_address from, const instance_id &source, const std::vector<latency_count> &counts, time_point now);
    /// Answers the asks of another instance for second sends. `borrower` is the incarnation of its process.
    std::vector<second_send_loan> lendSecondSends(
        const std::vector<second_send_ask> &asks, std::uint64_t borrower, const instance_id &source, time_point now);
    /// Records what another instance lent. Loans that may not be used are logged and ignored. `self`: this process' incarnation.
    void recordSecondSendLoans(
        peer_address lender, const instance_id &source, std::uint64_t self, const std::vector<second_send_loan> &loans, time_point now);
    /// Records that an answer from the server has begun.
    void recordAnswer(server_key server);
    /// Records that the server answers through another instance while this instance's own path to it failed.
    void recordLostPath(const endpoint &server, time_point now);
    /// Instances through which requests may be sent, with what is known of their paths.
    std::vector<relay_candidate> relayCandidates(time_point now) const;
    /// Whether requests may be served: a configuration is loaded and was confirmed once; if it requires API keys, it is fresh enough.
    bool mayServe(time_point now) const;
    /// Records that the configuration in force includes all that was published before `queriedAt`, unless an instance nearby
    /// has a newer one: then the store was restored and has lost it.
    void confirmConfig(time_point queriedAt, time_point now);
    std::uint64_t configVersion() const;

    fleet_limits limits;
    std::shared_ptr<const route_table> routes; ///< Null until the first configuration.
    caller_limits callerLimits;
    config_freshness freshness;
    server_directory servers;
    load_tracker loads;
    waiting_prompts waiting;
    customer_use customerUse;
    cell_summaries summaries;
    server_suspicion serverSuspicion;
    unanswered_orders unansweredOrders;
    quiet_servers quiet;
    server_rate_limits rateLimits;
    prompt_quarantine quarantine;
    std::function<void(prompt_part)> onQuarantined; ///< Called when a part is quarantined.
    data_centre_suspicion dataCentreSuspicion;
    server_paths paths;
    engine_speeds speeds;
    resend_budget resends;
    second_copies secondCopies;
    peer_registry peers;

private:
    bool isTrialInstance(prompt_part part, time_point now) const;
    void applyConfig(const config_published &published);
    void logProblems(const published_config &config);
    /// Returns the newest configuration that names the service; requests of an earlier one may still use it.
    const route_table *latestNaming(const service_id &service) const;
    void applyServer(const listed_server &server, time_point now);
    void removeServer(const backend_server_id &server, time_point now, time_point keepUntil);
    bool isAtRateLimit(const server_directory::known_server &server, time_point now) const;
    bool isAtColdLimit(const server_directory::known_server &server, unsigned sentLastSecond, double share, time_point now) const;
    void setLink(placement_candidate &candidate, const listed_server &server) const;
    placement_candidate candidateFor(const server_directory::known_server &server, time_point now) const;
    std::vector<const server_directory::known_server *> eligible(const service_id &service, time_point now) const;

    const std::vector<placement_candidate> &allCandidates(const service_id &service, server_scope scope, time_point now) const;
    std::vector<placement_candidate> makeCandidates(
        const std::vector<const server_directory::known_server *> &eligible, server_scope scope, time_point now) const;

    /// Candidates as of one moment: requests that wait are tried together.
    struct candidate_cache {
        service_id service;
        server_scope scope = server_scope::own_cell;
        time_point at{};
        std::uint64_t loadChanges = 0;
        std::vector<placement_candidate> candidates;
    };

    fleet_event_log m_log;
    peer_address m_self;
    data_centre_id m_ownDataCentre;
    std::map<server_key, backend_server_id> m_idByKey;
    std::map<service_id, std::shared_ptr<const route_table>> m_latestNaming;
    mutable std::map<server_scope, candidate_cache> m_candidates;
};

/// Returns the hash that stands for a backend server in messages between instances.
server_key keyOf(const backend_server_id &id);

/// Returns the hashes that stand for the parts of a prompt in messages between instances. `own` may be empty.
std::vector<prompt_part> promptParts(const std::vector<std::string> &shared, const std::string &own);
/// Returns the hash that stands for a request without parts, which comes again only as a whole, from the same customer.
prompt_part wholeRequestPart(std::string_view customer, std::string_view method, std::string_view target, std::string_view body);

/// Returns the hash that stands for one start of a backend server in messages between instances.
server_start_key startKeyOf(const listed_server &server);

} // namespace mustardtrail::gateway

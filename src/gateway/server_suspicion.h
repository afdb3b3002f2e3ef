#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/server_work.h"

#include <map>
#include <vector>

namespace mustardtrail::gateway
{

/// Failure detector for backend servers. Guards against servers that crash, hang or fail requests while they are listed as
/// healthy: a suspected server receives requests only when no other can take them, and is tried again after a backoff that
/// doubles up to a limit. A server that two other instances suspect is suspected here too; a single one may itself be cut off.
class server_suspicion
{
public:
    /// Suspects the server for the current backoff. Failures while it is already suspected do not count again.
    void recordFailure(server_key server, time_point now);
    void recordSuccess(server_key server);
    /// Forgets all failures that this instance has seen.
    void forgetOwnFailures();
    /// Records that bytes of an answer arrived from the server.
    void recordBytes(server_key server, time_point now);
    /// Whether bytes arrived from the server within `responseMaxAge`: then an unanswered request is no sign that it has failed.
    bool isResponding(server_key server, time_point now) const;
    /// Replaces the list of servers that another instance reported as suspected.
    void updatePeerSuspects(const instance_id &peer, const std::vector<server_key> &suspects, time_point now);
    bool isSuspected(server_key server, time_point now) const;
    /// Returns the servers suspected because of failures seen by this instance.
    std::vector<server_key> ownSuspects(time_point now) const;

    static constexpr std::chrono::milliseconds initialBackoff{ 500 }; ///< About as long as a few short requests.
    static constexpr std::chrono::milliseconds peerReportMaxAge{ 1'000 }; ///< A few report intervals.
    static constexpr std::chrono::milliseconds responseMaxAge{ 500 }; ///< Two long batch steps of an engine.
    static constexpr size_t peerReportsRequired = 2; ///< Other instances that must suspect a server.
    static constexpr std::chrono::milliseconds maxBackoff{ 4'000 }; ///< Shorter than a usual outage.

private:
    struct failure_record {
        std::chrono::milliseconds backoff{ 0 };
        time_point suspectedUntil{};
    };

    struct peer_report {
        std::vector<server_key> suspects;
        time_point receivedAt{};
    };

    std::map<server_key, failure_record> m_failures;
    std::map<server_key, time_point> m_lastBytesAt;
    std::map<instance_id, peer_report> m_peerReports;
};

} // namespace mustardtrail::gateway

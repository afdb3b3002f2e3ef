#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/server_work.h"

#include <map>
#include <vector>

namespace mustardtrail::gateway
{

/// Which backend servers failed lately. Answers servers that crash, hang or fail requests while they are listed as good:
/// a suspect takes work only when nothing else can, and is tried again after a pause that doubles up to a limit. Two other
/// instances that suspect a server count like an own failure; one alone may be cut off itself.
class server_suspicion
{
public:
    void recordFailure(server_key server, time_point now);
    void recordSuccess(server_key server);
    /// Bytes of an answer came from it.
    void recordBytes(server_key server, time_point now);
    /// Whether bytes came from it lately, so that a request without an answer says little of the server.
    bool isResponding(server_key server, time_point now) const;
    /// What another instance suspects, in place of what it told before.
    void updatePeerSuspects(const instance_id &peer, const std::vector<server_key> &suspects, time_point now);
    bool isSuspected(server_key server, time_point now) const;
    /// Those that failed this instance.
    std::vector<server_key> ownSuspects(time_point now) const;

    static constexpr std::chrono::milliseconds initialBackoff{ 500 }; ///< About the time of a few short requests.
    static constexpr std::chrono::milliseconds peerReportMaxAge{ 1'000 }; ///< A few reports of an instance.
    static constexpr std::chrono::milliseconds responseMaxAge{ 500 }; ///< Two long passes of an engine.
    static constexpr size_t peerReportsRequired = 2; ///< Other instances that it takes.
    static constexpr std::chrono::milliseconds maxBackoff{ 4'000 }; ///< Below the usual length of an outage.

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

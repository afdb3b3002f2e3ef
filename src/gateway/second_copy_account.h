#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/peer_address.h"
#include "gateway/second_copy_use.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// Work at the backend servers of one service in the last 10 s, of all known instances.
struct second_copy_work {
    std::chrono::microseconds requests{ 0 };
    std::chrono::microseconds copies{ 0 };
    std::chrono::microseconds requestsElsewhere{ 0 }; ///< Part of `requests` that other instances reported.
    std::chrono::microseconds meanOwnRequest{ 0 }; ///< Mean work of this instance's requests; 0 without any.
};

/// Compares the work of second copies with that of the requests, by service, in the last 10 s: this instance's own and what the
/// others reported. The work of a stream is its predicted prefill time, that of a plain request its processing time. Lost and late
/// reports make the work of the requests too small and that of the copies too large, so the limit holds without them too.
class second_copy_account
{
public:
    using ticket = std::uint64_t;
    using service_filter = std::function<bool(service_key service)>;

    void recordRequest(const service_id &service, std::chrono::microseconds work, time_point now);
    /// Share of the requests with a slow first send that may get a copy which takes `work`, so that the copies' work remains within
    /// `limit`, a share of the requests' work. Below 1 while the room left is small against what the others may send before their
    /// next report arrives. 0 while a copy runs for longer than expected: then it is not one server that is slow.
    double admittedShare(const service_id &service, double limit, std::chrono::microseconds work, time_point now);
    /// Counts a copy with its expected work. While it runs, one that is not a stream counts with its age if that is more.
    ticket startCopy(const service_id &service, std::chrono::microseconds expectedWork, bool isStream, time_point now);
    /// Whether a running copy must end: it takes longer than expected, and the copies' work reaches the limit, or may with the
    /// copies of other instances that are not known here yet.
    bool mustEnd(ticket copy, double limit, time_point now);
    /// Returns the work that the copy is finally counted with.
    std::chrono::microseconds finishCopy(ticket copy, time_point now);
    second_copy_work workOf(const service_id &service, time_point now);

    /// Returns this instance's work for its reports: the services with the most copies, then the most requests.
    std::vector<second_copy_use> ownForReport(time_point now);
    /// Whether a copy was sent or ended so recently that each report tells of it.
    bool hasNews(time_point now) const;
    /// Records what another instance reported; a service that it does not name keeps its figures until they expire. Returns a
    /// description of each entry that is not used.
    std::vector<std::string> recordReported(peer_address from,
        std::uint64_t incarnation,
        const std::vector<second_copy_use> &use,
        const service_filter &isKnownService,
        time_point now);
    void expire(time_point now);

    static constexpr std::chrono::milliseconds window{ 10'000 };
    static constexpr std::chrono::milliseconds requestsExpiry{ 2'000 }; ///< Of another instance's requests after its last report.
    static constexpr std::chrono::milliseconds copiesExpiry{ 10'000 }; ///< Of another instance's copies after its last report.
    static constexpr std::chrono::milliseconds newsAge{ 100 }; ///< As for other urgent news in reports.
    static constexpr size_t maxReported = 8; ///< Services in one report.
    static constexpr std::chrono::milliseconds maxReportedWork{ 10'000'000 }; ///< The window at a thousand servers.

private:
    struct request_entry {
        time_point at;
        std::chrono::microseconds work;
    };
    struct copy_entry {
        service_key service = 0;
        time_point startedAt;
        time_point countedAt; ///< When it ended, for a stream when it was sent: as for a request of its kind.
        std::chrono::microseconds work;
        bool isRunning = false; ///< And is counted with its age; a stream is not.
    };
    struct reported_use {
        second_copy_use use;
        time_point receivedAt;
    };
    using use_by_service = std::map<service_key, reported_use>;
    struct peer_use {
        std::uint64_t incarnation = 0;
        use_by_service byService;
        std::vector<reported_use> ofEarlierIncarnations; ///< Their copies go on counting.
    };

    static bool isOverdue(const copy_entry &copy, time_point now);
    static std::chrono::microseconds workOfCopy(const copy_entry &copy, time_point now);
    static void addReported(second_copy_work &total, service_key service, const peer_use &peer, time_point now);
    second_copy_work ownWork(service_key service, time_point now) const;
    second_copy_work totalWork(service_key service, time_point now) const;

    std::map<service_key, std::deque<request_entry>> m_requests; ///< Oldest first.
    std::map<ticket, copy_entry> m_copies; ///< Oldest first.
    std::map<peer_address, peer_use> m_peers;
    ticket m_last = 0;
};

} // namespace mustardtrail::gateway

#pragma once

#include "gateway/peer_address.h"
#include "gateway/server_work.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardtrail::gateway
{

/// Load of one backend server, summed over the known work of all instances.
struct server_load {
    std::chrono::microseconds pendingPrefill{ 0 }; ///< Predicted time until all prefill sent to it is done.
    std::chrono::microseconds overdue{ 0 }; ///< How far its most delayed prefill is behind the prediction.
    std::int64_t memoryTokens = 0;
    std::int64_t contextTokens = 0; ///< Context of its requests in decode and of those in prefill.
    unsigned requests = 0; ///< Without parts that it prefills as a helper.
    unsigned decodingRequests = 0;
    unsigned unreadPrompts = 0; ///< Split prompts that it will answer and whose prefill is not done.
    unsigned latencySensitiveRequests = 0; ///< In decode or in prefill.
    unsigned sentLastSecond = 0;
    std::chrono::microseconds recentPrefill{ 0 }; ///< Sent within recentWindow before the report that showed it; not in summaries.
    std::chrono::milliseconds shortestEventGapTarget{ 0 }; ///< Of the streams that it answers; 0: none is known.

    /// Adds the load of other work at the same server.
    server_load &operator+=(const server_load &other);
    /// Counts a stream with this event gap target; 0: unknown.
    void addEventGapTarget(std::chrono::milliseconds target);
};

/// Tracks the work at every backend server: this instance's own and what the others reported.
class load_tracker
{
public:
    void add(const server_work &work);
    /// Moves the request from prefill to decode; returns false if it was there already.
    bool recordFirstToken(std::uint64_t request);
    void finish(std::uint64_t request);
    /// Replaces all work of another instance with that of its latest report.
    void replacePeerWork(peer_address peer, std::vector<server_work> work, time_point now);
    /// Removes the work of instances that have not reported for peerExpiry.
    void expire(time_point now);

    /// Whose work to count; this instance's own is always counted.
    using peer_filter = std::function<bool(peer_address peer)>;

    const std::map<server_key, server_load> &loads(time_point now) const;
    std::map<server_key, server_load> loadsOf(const peer_filter &counts, time_point now) const;
    const std::vector<server_work> &ownWork() const;
    /// Calls the visitor for all known work: this instance's own and that of the others.
    void forEachWork(const std::function<void(const server_work &)> &visit) const;
    /// Whether one of these instances has work that is known here.
    bool hasWorkOf(const peer_filter &counts) const;
    /// Counts the changes of the known work.
    std::uint64_t changes() const;
    size_t peerCount() const;
    /// Returns the mean time since the last reports of the instances that have work, each at most maxPictureAge.
    std::chrono::milliseconds pictureAge(time_point now) const;
    /// Returns the known prefill that was sent to the server since then, this instance's request `except` left out.
    std::chrono::microseconds prefillSentSince(server_key server, time_point since, std::uint64_t except) const;
    /// Other instances that the server answers a request sent since then: they have heard it.
    std::set<peer_address> hearersOf(server_key server, time_point since) const;
    /// Instances that have work at any server, this one included.
    size_t busyInstances() const;

    /// A few times the interval between load reports.
    static constexpr std::chrono::milliseconds peerExpiry{ 2'500 };
    static constexpr std::chrono::milliseconds recentWindow{ 250 }; ///< A few batch steps: engines get their work in bursts.
    static constexpr std::chrono::milliseconds maxPictureAge{ 300 }; ///< Without changes an instance reports about this often.

private:
    void recordChange();
    std::chrono::milliseconds measurePictureAge(time_point now) const;

    struct peer_work {
        std::vector<server_work> work;
        time_point receivedAt{};
    };
    std::vector<server_work> m_own;
    std::map<peer_address, peer_work> m_peers;
    // Requests that wait are tried together: each try at one time needs the same loads.
    mutable std::map<server_key, server_load> m_loads;
    mutable std::chrono::milliseconds m_pictureAge{ 0 };
    mutable std::optional<time_point> m_loadsAt; ///< Not set after a change of the work.
    std::uint64_t m_changes = 0;
};

} // namespace mustardtrail::gateway

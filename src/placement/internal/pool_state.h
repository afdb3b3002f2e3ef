#pragma once

#include "placement/candidate_ring.h"
#include "placement/fair_queue.h"
#include "placement/internal/backend_state.h"
#include "placement/internal/decayed_rate.h"
#include "placement/pool_key.h"

#include <chrono>
#include <functional>
#include <map>
#include <vector>

namespace mustardtrail::placement
{

/// Load of a sample of backend servers, scaled up to the whole pool.
struct pool_load {
    double tokensPerSecond = 0;
    double shareLeft = 1; ///< Share of the rate that more urgent work leaves.
    double freeSlots = 0;
    double slots = 0;
    std::chrono::nanoseconds bestPrediction{ std::chrono::nanoseconds::max() };
    double fittingServers = 0; ///< Backend servers large enough for the attempt when idle.
    token_count spareTokens = 0; ///< Total memory that prompts of this length class may use now.
    bool memoryAvailable = false; ///< Some backend server has enough free memory for the attempt now.
    bool fitsSomewhere = false; ///< Some backend server is large enough for the attempt.
    bool anyAcceptsWork = false;
};

/// The owned backend servers of one model or service, and the queue of attempts for them.
class pool_state
{
public:
    explicit pool_state(const placement_options &options);

    void assign(std::vector<backend_state *> members);
    const std::vector<backend_state *> &members() const;
    fair_queue &queue();
    const fair_queue &queue() const;

    /// Backend server to which the attempt can be sent now; null when it has to wait.
    /// freedBackend, if set, is considered as well when no sampled candidate can take the attempt.
    backend_state *choose(const queued_attempt &item, backend_state *freedBackend, time_point now);
    /// Predicted queueing time of an attempt queued now.
    std::chrono::nanoseconds queueWait(const work_item &work, int priority, const pool_load &load, time_point now) const;
    /// Load of a sample of backend servers, or of all when the attempt fits on none of the sample.
    pool_load loadFor(const queued_attempt &item, time_point now);
    /// Lets each queued medium or long prompt that nears its deadline claim memory of one engine.
    void updateClaims(time_point now);
    /// Engine claimed for the attempt, once it can take the attempt; otherwise null.
    backend_state *claimedEngine(const queued_attempt &item, time_point now) const;
    bool hasClaims() const;
    void observeEnd(const work_item &work, std::chrono::nanoseconds duration, time_point now);

private:
    std::chrono::duration<double> memoryWait(const work_item &work, token_count ahead, const pool_load &load, time_point now) const;
    pool_load loadOf(const std::vector<backend_state *> &sampled, const queued_attempt &item, time_point now) const;
    bool mayClaim(const queued_attempt &item, time_point now) const;
    void dropClaims(const std::function<bool(const attempt_id &, const backend_state &)> &over);
    backend_state *engineToClaim(const queued_attempt &item) const;
    const std::vector<backend_state *> &candidates(const work_item &work);
    bool canTakeNow(backend_state &backend, const queued_attempt &item, time_point now) const;
    bool isBetter(backend_state &left, backend_state &right, const queued_attempt &item, time_point now) const;

    const placement_options &m_options;
    std::vector<backend_state *> m_members;
    candidate_ring m_ring;
    fair_queue m_queue;
    decayed_rate m_freedRate{ std::chrono::seconds(20) }; ///< Memory freed by medium and long prompts, in tokens a second.
    std::chrono::nanoseconds m_longDuration{ 0 }; ///< Average from send to end of long prompts; 0 before the first.
    std::chrono::nanoseconds m_duration{ std::chrono::milliseconds(500) }; ///< Average from send to end; starts from a default.
    std::map<attempt_id, backend_state *> m_claims;
    std::vector<backend_state *> m_candidates;
    std::vector<std::uint32_t> m_picked;
};

} // namespace mustardtrail::placement

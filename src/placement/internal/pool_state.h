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

/// What is known of a few backend servers, scaled up to the pool.
struct pool_load {
    double tokensPerSecond = 0;
    double shareLeft = 1; ///< Of the rate, below more urgent work.
    double freeSlots = 0;
    double slots = 0;
    std::chrono::nanoseconds bestPrediction{ std::chrono::nanoseconds::max() };
    double roomy = 0; ///< Backend servers whose memory could hold the attempt.
    token_count spareTokens = 0; ///< Memory that medium and long prompts may take now, over all.
    bool memoryFree = false; ///< One of them has that memory free now.
    bool fits = false; ///< The attempt fits on some backend server at all.
    bool any = false; ///< Some backend server takes new work.
};

/// The owned backend servers of one model or service, and the attempts that wait for them.
class pool_state
{
public:
    explicit pool_state(const placement_options &options);

    void assign(std::vector<backend_state *> members);
    const std::vector<backend_state *> &members() const;
    fair_queue &queue();
    const fair_queue &queue() const;

    /// Backend server that the attempt goes to now; null when it has to wait.
    backend_state *choose(const queued_attempt &item, backend_state *freed, time_point now);
    /// Time in the queue of an attempt that would be queued now.
    std::chrono::nanoseconds queueWait(const work_item &work, int priority, const pool_load &load, time_point now) const;
    /// From a few backend servers; from all when none of those takes the attempt.
    pool_load loadFor(const queued_attempt &item, time_point now);
    /// Lets queued medium and long prompts whose time runs out claim the memory of an engine each.
    void updateClaims(time_point now);
    /// Engine whose claimed memory came free for the attempt; null without one.
    backend_state *claimedEngine(const queued_attempt &item, time_point now) const;
    bool hasClaims() const;
    void observeEnd(const work_item &work, std::chrono::nanoseconds duration, time_point now);

private:
    std::chrono::duration<double> memoryWait(const work_item &work, token_count ahead, const pool_load &load, time_point now) const;
    pool_load loadOf(const std::vector<backend_state *> &looked, const queued_attempt &item, time_point now) const;
    bool mayClaim(const queued_attempt &item, time_point now) const;
    void dropClaims(const std::function<bool(const attempt_id &, const backend_state &)> &over);
    backend_state *engineToClaim(const queued_attempt &item) const;
    const std::vector<backend_state *> &candidates(const work_item &work);
    bool mayTake(backend_state &backend, const queued_attempt &item, time_point now) const;
    bool isBetter(backend_state &left, backend_state &right, const queued_attempt &item, time_point now) const;

    const placement_options &m_options;
    std::vector<backend_state *> m_members;
    candidate_ring m_ring;
    fair_queue m_queue;
    decayed_rate m_freed{ std::chrono::seconds(20) }; ///< Memory of medium and long prompts that ended, in tokens a second.
    std::chrono::nanoseconds m_longDuration{ 0 }; ///< The same for long prompts.
    std::chrono::nanoseconds m_duration{ std::chrono::milliseconds(500) }; ///< Average from send to end; a guess at first.
    std::map<attempt_id, backend_state *> m_claims;
    std::vector<backend_state *> m_candidates;
    std::vector<std::uint32_t> m_picked;
};

} // namespace mustardtrail::placement

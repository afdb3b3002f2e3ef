#include "placement/internal/router_impl.h"

#include "base/hash.h"
#include "placement/length_class.h"

#include <algorithm>

namespace mustardtrail::placement
{

namespace
{

/// Only a few owners are sampled, half of them at random: if all origins took the best of all owners, they would overload it.
constexpr std::size_t maxSampledOwners = 6;
/// Concentrated long prompts try owners in one fixed order and take the first whose cost is within this share of the time left.
constexpr std::uint64_t concentrateKey = 1;
constexpr double concentrateShare = 0.3;
/// The preferred owner of a prefix is used while its cost is at most this factor of the best one plus the slack.
constexpr double affinityLoadBound = 1.25;
constexpr std::chrono::milliseconds affinitySlack{ 60 };
/// Cost added to an owner without free memory, so that it is used only when no other is left.
constexpr std::chrono::seconds noMemoryCost{ 60 };
constexpr std::chrono::milliseconds outOfServiceRetryAfter{ 5000 };
constexpr std::chrono::milliseconds leastRetryAfter{ 100 };

tl::unexpected<error> refusal(error_code code, std::string detail, std::optional<std::chrono::milliseconds> retryAfter)
{
    return tl::unexpected(error{ code, verdict::not_run, std::move(detail), retryAfter });
}

tl::unexpected<error> targetUnreachable(std::chrono::nanoseconds soonest, std::chrono::nanoseconds left)
{
    const auto over = std::chrono::duration_cast<std::chrono::milliseconds>(soonest - left);
    const auto soonestMs = std::chrono::duration_cast<std::chrono::milliseconds>(soonest);
    const auto leftMs = std::chrono::duration_cast<std::chrono::milliseconds>(left);
    std::string detail = "predicted=" + std::to_string(soonestMs.count()) + "ms left=" + std::to_string(leftMs.count()) + "ms";
    return refusal(error_code::target_unreachable, std::move(detail), std::max(leastRetryAfter, over));
}

} // namespace

router::implementation::implementation(placement_options options)
    : m_options(options)
{
}

void router::implementation::onSummary(const owner_summary &summary)
{
    for (const pool_summary &entry : summary.pools) {
        const auto pool = m_pools.find(entry.pool);
        if (pool == m_pools.end()) {
            continue;
        }
        const auto owner = pool->second.index.find(summary.owner);
        if (owner != pool->second.index.end()) {
            pool->second.owners[owner->second].load.onSummary(entry, summary.takenAt);
        }
    }
}

result<route> router::implementation::pick(const work_item &work, const route_exclusions &excluded, time_point now)
{
    const pool_key key = poolKeyOf(work);
    const auto found = m_pools.find(key);
    if (found == m_pools.end() || !found->second.configured) {
        return refusal(error_code::no_backend_server, "reason=none_published pool=" + key.name, std::nullopt);
    }
    pool_owners &pool = found->second;
    if (pool.owners.empty()) {
        return refusal(error_code::no_backend_server, "reason=out_of_service pool=" + key.name, outOfServiceRetryAfter);
    }
    const token_count need = work.promptTokens + work.maxNewTokens;
    if (key.kind == pool_kind::model && need > pool.largestMemory) {
        return refusal(error_code::prompt_exceeds_fleet, "need_tokens=" + std::to_string(need), std::nullopt);
    }
    const int priority = priorityOf(work.promptTokens, work.firstTokenDeadline - work.arrival);
    choice chosen = choose(pool, work, priority, excluded, maxSampledOwners, now);
    if (chosen.best == nullptr && pool.owners.size() > maxSampledOwners) {
        chosen = choose(pool, work, priority, excluded, pool.owners.size(), now);
    }
    if (chosen.best == nullptr && !excluded.backends.empty()) {
        // With no other server left, one that failed before is tried again; the attempt limit and the retry budget bound this.
        chosen = choose(pool, work, priority, { excluded.instances, {} }, pool.owners.size(), now);
    }
    if (chosen.best == nullptr) {
        return refusal(error_code::no_backend_server, "reason=all_failed_before pool=" + key.name, leastRetryAfter);
    }
    const auto left = work.firstTokenDeadline - now;
    // If all summaries report no capacity although the view lists servers, the attempt is sent: the owner has newer state.
    const bool anyTakesWork = chosen.soonest < summaryUnreachable;
    if (chosen.allMayRefuse && anyTakesWork && chosen.soonest > left) {
        return targetUnreachable(chosen.soonest, left);
    }
    const std::chrono::duration<double, std::nano> bound = affinityLoadBound * chosen.bestCost + affinitySlack;
    owner_entry &owner = chosen.preferredCost <= bound ? *chosen.preferred : *chosen.best;
    owner.load.onSent(work, priority, now);
    return route{ owner.instance, preferredBackend(owner, work, excluded) };
}

bool router::implementation::concentrates(const work_item &work) const
{
    return m_options.longPlacement == long_placement::concentrate && lengthClassOf(work.promptTokens) == length_class::long_prompt;
}

router::implementation::choice router::implementation::choose(
    pool_owners &pool, const work_item &work, int priority, const route_exclusions &excluded, std::size_t maxSampled, time_point now)
{
    choice chosen;
    const bool concentrated = concentrates(work);
    pool.ring.pick(concentrated ? concentrateKey : work.prefixHash, hash64(work.attempt.str()), maxSampled, m_picked);
    const auto acceptableCost = std::chrono::duration_cast<std::chrono::nanoseconds>(concentrateShare * (work.firstTokenDeadline - now));
    for (const std::uint32_t member : m_picked) {
        owner_entry &owner = pool.owners[member];
        if (isExcluded(owner, excluded)) {
            continue;
        }
        std::chrono::nanoseconds cost = owner.load.predict(work, priority, now) + owner.distance;
        if (!owner.load.hasMemoryFor(work, now)) {
            cost += noMemoryCost;
        }
        chosen.allMayRefuse = chosen.allMayRefuse && owner.load.canRefuseBySummary(now);
        chosen.soonest = std::min(chosen.soonest, owner.load.predictBySummary(work.promptTokens, now));
        // Prefix affinity applies to the nearest data centre only.
        if (chosen.preferred == nullptr || owner.distance < chosen.preferred->distance) {
            chosen.preferred = &owner;
            chosen.preferredCost = cost;
        }
        if (chosen.best == nullptr || cost < chosen.bestCost) {
            chosen.best = &owner;
            chosen.bestCost = cost;
        }
        if (concentrated && cost <= acceptableCost) {
            chosen.best = chosen.preferred = &owner;
            chosen.bestCost = chosen.preferredCost = cost;
            return chosen;
        }
    }
    return chosen;
}

bool router::implementation::isExcluded(const owner_entry &owner, const route_exclusions &excluded)
{
    if (std::find(excluded.instances.begin(), excluded.instances.end(), owner.instance) != excluded.instances.end()) {
        return true;
    }
    if (excluded.backends.empty()) {
        return false;
    }
    return std::all_of(owner.backends.begin(), owner.backends.end(), [&](const backend_server_id &backend) {
        return std::find(excluded.backends.begin(), excluded.backends.end(), backend) != excluded.backends.end();
    });
}

backend_server_id router::implementation::preferredBackend(
    const owner_entry &owner, const work_item &work, const route_exclusions &excluded)
{
    backend_server_id best;
    std::uint64_t bestWeight = 0;
    for (const backend_server_id &backend : owner.backends) {
        if (std::find(excluded.backends.begin(), excluded.backends.end(), backend) != excluded.backends.end()) {
            continue;
        }
        const std::uint64_t weight = hash64(backend.str(), work.prefixHash);
        if (best.empty() || weight > bestWeight) {
            best = backend;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace mustardtrail::placement

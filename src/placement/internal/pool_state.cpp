#include "placement/internal/pool_state.h"

#include "base/hash.h"

#include <algorithm>

namespace mustardtrail::placement
{

namespace
{

using seconds_double = std::chrono::duration<double>;

/// The preferred engine of a prefix is used while its prediction is at most this factor of the best one plus the slack.
constexpr double affinityLoadBound = 1.25;
constexpr std::chrono::milliseconds affinitySlack{ 20 };
constexpr int durationWeight = 16; ///< Moving average: one observation counts 1/16.
constexpr int longDurationWeight = 4;

bool isExcluded(const queued_attempt &item, const backend_server_id &backend)
{
    return std::find(item.excluded.begin(), item.excluded.end(), backend) != item.excluded.end();
}

} // namespace

pool_state::pool_state(const placement_options &options)
    : m_options(options)
{
}

void pool_state::assign(std::vector<backend_state *> members)
{
    if (members == m_members) {
        return;
    }
    dropClaims([](const attempt_id &, const backend_state &) {
        return true;
    });
    m_members = std::move(members);
    std::vector<std::string_view> names;
    for (const backend_state *member : m_members) {
        names.push_back(member->id().str());
    }
    m_ring.assign(names);
}

const std::vector<backend_state *> &pool_state::members() const
{
    return m_members;
}

fair_queue &pool_state::queue()
{
    return m_queue;
}

const fair_queue &pool_state::queue() const
{
    return m_queue;
}

backend_state *pool_state::choose(const queued_attempt &item, backend_state *freedBackend, time_point now)
{
    backend_state *best = nullptr;
    backend_state *preferred = nullptr;
    for (backend_state *candidate : candidates(item.work)) {
        if (!canTakeNow(*candidate, item, now)) {
            continue;
        }
        preferred = preferred == nullptr ? candidate : preferred;
        if (best == nullptr || isBetter(*candidate, *best, item, now)) {
            best = candidate;
        }
    }
    if (best == nullptr && freedBackend != nullptr && canTakeNow(*freedBackend, item, now)) {
        return freedBackend;
    }
    if (best == nullptr || preferred == best || !best->isEngine()) {
        return best;
    }
    const auto bound = affinityLoadBound * seconds_double(best->predict(item.work, item.priority, now)) + affinitySlack;
    return preferred->predict(item.work, item.priority, now) <= bound ? preferred : best;
}

std::chrono::nanoseconds pool_state::queueWait(const work_item &work, int priority, const pool_load &load, time_point now) const
{
    const fair_queue::position ahead = m_queue.positionOf(work, priority);
    seconds_double wait{ 0 };
    if (load.tokensPerSecond > 0) {
        wait = seconds_double(ahead.promptTokens / (load.tokensPerSecond * load.shareLeft));
    }
    const double surplus = static_cast<double>(ahead.attempts) + 1 - load.freeSlots;
    if (surplus > 0 && load.slots > 0) {
        wait = std::max(wait, seconds_double(m_duration) * surplus / load.slots);
    }
    // Long prompts wait for memory that running ones release.
    if (lengthClassOf(work.promptTokens) == length_class::long_prompt && load.fittingServers > 0) {
        const double longPromptsAhead = static_cast<double>(ahead.attemptsOfSamePriority) + (load.memoryAvailable ? 0 : 1);
        wait = std::max(wait, seconds_double(m_longDuration) * longPromptsAhead / load.fittingServers);
    }
    if (m_options.predictsMemoryWait) {
        wait = std::max(wait, memoryWait(work, ahead.memoryTokens, load, now));
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
}

std::chrono::duration<double> pool_state::memoryWait(const work_item &work, token_count ahead, const pool_load &load, time_point now) const
{
    const double freedPerSecond = m_freedRate.at(now);
    if (lengthClassOf(work.promptTokens) != length_class::medium_prompt || (load.memoryAvailable && ahead == 0) || freedPerSecond <= 0) {
        return seconds_double(0);
    }
    const token_count missing = std::max<token_count>(0, ahead + memoryNeed(work) - load.spareTokens);
    return seconds_double(static_cast<double>(missing) / freedPerSecond);
}

pool_load pool_state::loadFor(const queued_attempt &item, time_point now)
{
    const pool_load load = loadOf(candidates(item.work), item, now);
    return load.fitsSomewhere ? load : loadOf(m_members, item, now);
}

pool_load pool_state::loadOf(const std::vector<backend_state *> &sampled, const queued_attempt &item, time_point now) const
{
    pool_load load;
    const double scale = sampled.empty() ? 0 : static_cast<double>(m_members.size()) / static_cast<double>(sampled.size());
    load.shareLeft = 0;
    double counted = 0;
    for (backend_state *candidate : sampled) {
        if (!candidate->takesNewWork() || isExcluded(item, candidate->id())) {
            continue;
        }
        load.anyAcceptsWork = true;
        load.fitsSomewhere = load.fitsSomewhere || candidate->fitsAtAll(item.work);
        load.slots += scale * candidate->limit(now);
        load.freeSlots += scale * candidate->freeSlots(now);
        if (!candidate->fitsAtAll(item.work)) {
            continue;
        }
        load.fittingServers += scale;
        load.spareTokens += static_cast<token_count>(scale * static_cast<double>(candidate->spareTokens(item.work)));
        load.memoryAvailable = load.memoryAvailable || candidate->hasMemoryFor(item.work);
        load.bestPrediction = std::min(load.bestPrediction, candidate->predict(item.work, item.priority, now));
        load.tokensPerSecond += scale * (candidate->isEngine() ? candidate->backlog().tokensPerSecond() : 0);
        load.shareLeft += candidate->backlog().shareLeft(item.priority, now);
        ++counted;
    }
    load.shareLeft = counted > 0 ? load.shareLeft / counted : 1;
    return load;
}

void pool_state::updateClaims(time_point now)
{
    dropClaims([this](const attempt_id &attempt, const backend_state &backend) {
        return !m_queue.contains(attempt) || !backend.takesNewWork();
    });
    m_queue.removeIf([&](const queued_attempt &item) {
        if (!mayClaim(item, now)) {
            return false;
        }
        if (backend_state *engine = engineToClaim(item)) {
            engine->claim(item.work);
            m_claims[item.work.attempt] = engine;
        }
        return false;
    });
}

backend_state *pool_state::claimedEngine(const queued_attempt &item, time_point now) const
{
    const auto found = m_claims.find(item.work.attempt);
    return found != m_claims.end() && canTakeNow(*found->second, item, now) ? found->second : nullptr;
}

bool pool_state::hasClaims() const
{
    return !m_claims.empty();
}

bool pool_state::mayClaim(const queued_attempt &item, time_point now) const
{
    const length_class length = lengthClassOf(item.work.promptTokens);
    if (length == length_class::short_prompt || m_claims.contains(item.work.attempt)) {
        return false;
    }
    const double part = length == length_class::long_prompt ? m_options.longClaimThreshold : m_options.mediumClaimThreshold;
    return item.work.firstTokenDeadline - now <= part * (item.work.firstTokenDeadline - item.work.arrival);
}

void pool_state::dropClaims(const std::function<bool(const attempt_id &, const backend_state &)> &over)
{
    std::erase_if(m_claims, [&](const auto &entry) {
        const bool ends = over(entry.first, *entry.second);
        if (ends) {
            entry.second->unclaim();
        }
        return ends;
    });
}

backend_state *pool_state::engineToClaim(const queued_attempt &item) const
{
    backend_state *best = nullptr;
    for (backend_state *member : m_members) {
        const bool possible = member->isEngine() && member->takesNewWork() && !member->claimed() && member->fitsAtAll(item.work);
        if (!possible || isExcluded(item, member->id())) {
            continue;
        }
        if (best == nullptr || member->memory().free() > best->memory().free()) {
            best = member;
        }
    }
    return best;
}

void pool_state::observeEnd(const work_item &work, std::chrono::nanoseconds duration, time_point now)
{
    m_duration += (duration - m_duration) / durationWeight;
    if (lengthClassOf(work.promptTokens) != length_class::short_prompt) {
        m_freedRate.add(static_cast<double>(memoryNeed(work)), now);
    }
    if (lengthClassOf(work.promptTokens) != length_class::long_prompt) {
        return;
    }
    const bool isFirst = m_longDuration.count() == 0;
    m_longDuration = isFirst ? duration : m_longDuration + (duration - m_longDuration) / longDurationWeight;
}

const std::vector<backend_state *> &pool_state::candidates(const work_item &work)
{
    m_ring.pick(work.prefixHash, hash64(work.attempt.str()), m_options.maxCandidates, m_picked);
    m_candidates.clear();
    for (const std::uint32_t member : m_picked) {
        m_candidates.push_back(m_members[member]);
    }
    return m_candidates;
}

bool pool_state::canTakeNow(backend_state &backend, const queued_attempt &item, time_point now) const
{
    if (!backend.takesNewWork() || isExcluded(item, backend.id())) {
        return false;
    }
    return backend.hasSlotFor(item.work, now) && backend.hasMemoryFor(item.work)
        && backend.hasBacklogRoomFor(item.work, item.priority, now);
}

bool pool_state::isBetter(backend_state &left, backend_state &right, const queued_attempt &item, time_point now) const
{
    if (!left.isEngine()) {
        return left.outstanding() < right.outstanding();
    }
    const bool isLong = lengthClassOf(item.work.promptTokens) == length_class::long_prompt;
    if (isLong && m_options.longPlacement == long_placement::concentrate && left.longTokens() != right.longTokens()) {
        return left.longTokens() > right.longTokens();
    }
    return left.predict(item.work, item.priority, now) < right.predict(item.work, item.priority, now);
}

} // namespace mustardtrail::placement

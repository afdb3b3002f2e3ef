#include "placement/internal/owner_scheduler_impl.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace mustardtrail::placement
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds summaryShortTarget{ 1000 };
constexpr milliseconds summaryLongTarget{ 60000 };

std::int64_t msBetween(time_point from, time_point to)
{
    return duration_cast<milliseconds>(to - from).count();
}

queued_attempt reference(token_count tokens, milliseconds target, time_point now)
{
    queued_attempt item;
    item.work.promptTokens = tokens;
    item.priority = priorityOf(tokens, target);
    item.queuedAt = now;
    return item;
}

} // namespace

owner_summary owner_scheduler::implementation::emptySummary(time_point now) const
{
    owner_summary result;
    result.takenAt = now;
    result.owner = m_view != nullptr ? m_view->self : instance_id();
    return result;
}

owner_summary owner_scheduler::implementation::summary(time_point now)
{
    owner_summary result = emptySummary(now);
    for (auto &[key, pool] : m_pools) {
        if (!pool.members().empty()) {
            result.pools.push_back(summaryOf(key, pool, now));
        }
    }
    return result;
}

owner_summary owner_scheduler::implementation::summary(const pool_key &key, time_point now)
{
    owner_summary result = emptySummary(now);
    const auto pool = m_pools.find(key);
    if (pool != m_pools.end() && !pool->second.members().empty()) {
        result.pools.push_back(summaryOf(key, pool->second, now));
    }
    return result;
}

pool_summary owner_scheduler::implementation::summaryOf(const pool_key &key, pool_state &pool, time_point now)
{
    pool_summary result;
    result.pool = key;
    double queued = pool.queue().promptTokens();
    double rate = 0;
    for (backend_state *backend : pool.members()) {
        if (!backend->takesNewWork() || !mayDispatch(now)) {
            continue;
        }
        result.freeRequests += backend->freeSlots(now);
        result.freeTokens = std::max(result.freeTokens, backend->memory().free());
        queued += backend->backlog().tokensTotal(now);
        rate += backend->isEngine() ? backend->backlog().tokensPerSecond() : 0;
    }
    result.queuedPrefillTokens = static_cast<token_count>(queued);
    result.prefillTokensPerSecond = static_cast<token_count>(rate);
    const auto predictFor = [&](token_count tokens, milliseconds target) {
        const queued_attempt item = reference(tokens, target, now);
        const pool_load load = pool.loadFor(item, now);
        return load.anyAcceptsWork && load.fitsSomewhere
            ? duration_cast<milliseconds>(load.bestPrediction + pool.queueWait(item.work, item.priority, load, now))
            : summaryUnreachable;
    };
    result.shortFirstToken = predictFor(summaryShortTokens, summaryShortTarget);
    result.longFirstToken = predictFor(summaryLongTokens, summaryLongTarget);
    return result;
}

boost::json::value owner_scheduler::implementation::dump(time_point now)
{
    boost::json::object result;
    result["confirmed"] = mayDispatch(now);
    result["isolated"] = m_view != nullptr && m_view->isolated;
    boost::json::array backends;
    for (auto &[id, backend] : m_backends) {
        backends.push_back(dumpBackend(*backend, now));
    }
    result["backend_servers"] = std::move(backends);
    boost::json::array pools;
    for (auto &[key, pool] : m_pools) {
        boost::json::object entry;
        entry["kind"] = key.kind == pool_kind::model ? "model" : "service";
        entry["name"] = key.name;
        entry["backend_servers"] = pool.members().size();
        entry["queue"] = dumpQueue(pool, now);
        pools.push_back(std::move(entry));
    }
    result["pools"] = std::move(pools);
    return result;
}

boost::json::value owner_scheduler::implementation::dumpBackend(backend_state &backend, time_point now)
{
    boost::json::object result;
    result["id"] = backend.id().str();
    result["owned"] = backend.owned();
    result["takes_new_work"] = backend.takesNewWork();
    result["yielded"] = backend.hasNewerOwner();
    result["fencing_number"] = backend.fencingNumber();
    result["limit"] = backend.limit(now);
    result["cold_limit"] = backend.slowStart().coldLimit();
    result["last_fall"] = std::string(toString(backend.slowStart().lastResetReason()));
    result["running"] = backend.running().size();
    result["running_long"] = backend.longRunning();
    result["foreign_requests"] = backend.memory().foreignRequests();
    result["memory_tokens"] = backend.memory().capacity();
    result["free_tokens"] = backend.memory().free();
    result["held_for_groups_tokens"] = backend.memory().heldForGroups();
    result["claimed_tokens"] = backend.claimed() ? backend.claimed()->tokens : 0;
    result["foreign_tokens"] = backend.memory().foreignTokens();
    result["prefill_waiting_tokens"] = static_cast<std::int64_t>(backend.backlog().tokensTotal(now));
    result["prefill_tokens_per_second"] = static_cast<std::int64_t>(backend.backlog().tokensPerSecond());
    result["known_prefixes"] = backend.prefixes().size();
    if (const auto takenAt = backend.reportTakenAt()) {
        result["report_age_ms"] = msBetween(*takenAt, now);
    }
    return result;
}

boost::json::value owner_scheduler::implementation::dumpQueue(pool_state &pool, time_point now)
{
    boost::json::array result;
    pool.queue().removeIf([&](const queued_attempt &item) {
        boost::json::object entry;
        entry["attempt"] = item.work.attempt.str();
        entry["customer"] = item.work.customer.str();
        entry["class"] = item.work.workClass.str();
        entry["prompt_tokens"] = item.work.promptTokens;
        entry["priority"] = item.priority;
        entry["waited_ms"] = msBetween(item.queuedAt, now);
        entry["left_ms"] = msBetween(now, item.work.firstTokenDeadline);
        result.push_back(std::move(entry));
        return false;
    });
    return result;
}

} // namespace mustardtrail::placement

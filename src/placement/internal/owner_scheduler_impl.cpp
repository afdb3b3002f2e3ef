#include "placement/internal/owner_scheduler_impl.h"

#include <algorithm>

namespace mustardtrail::placement
{

namespace
{

/// Retry delays of refusals that are caused by the fleet's state and not by the queue.
constexpr std::chrono::milliseconds viewRetryAfter{ 500 };
constexpr std::chrono::milliseconds outOfServiceRetryAfter{ 5000 };
constexpr std::chrono::milliseconds leastRetryAfter{ 100 };

/// Most views only renew the lease of the previous one and need no rebuild.
bool sameOwnership(const membership::fleet_view &left, const membership::fleet_view &right)
{
    return left.config == right.config && left.isolated == right.isolated && left.backends == right.backends;
}

error refusal(error_code code, std::string detail, std::optional<std::chrono::milliseconds> retryAfter)
{
    return { code, verdict::not_run, std::move(detail), retryAfter };
}

error targetUnreachable(std::chrono::nanoseconds predicted, std::chrono::nanoseconds left, std::chrono::nanoseconds retryDelay)
{
    const auto retryDelayMs = std::chrono::duration_cast<std::chrono::milliseconds>(retryDelay);
    const auto predictedMs = std::chrono::duration_cast<std::chrono::milliseconds>(predicted);
    const auto leftMs = std::chrono::duration_cast<std::chrono::milliseconds>(left);
    std::string detail = "predicted=" + std::to_string(predictedMs.count()) + "ms left=" + std::to_string(leftMs.count()) + "ms";
    return refusal(error_code::target_unreachable, std::move(detail), std::max(leastRetryAfter, retryDelayMs));
}

} // namespace

owner_scheduler::implementation::implementation(placement_options options)
    : m_options(options)
{
}

owner_action_list owner_scheduler::implementation::takeActions()
{
    return std::exchange(m_actions, {});
}

void owner_scheduler::implementation::setView(std::shared_ptr<const membership::fleet_view> view, time_point now)
{
    const bool unchanged = m_view != nullptr && view != nullptr && sameOwnership(*m_view, *view);
    m_view = std::move(view);
    if (!unchanged) {
        rebuildPools(now);
    }
    dispatchAllPools(now);
}

void owner_scheduler::implementation::admit(const work_item &work, const std::vector<backend_server_id> &excluded, time_point now)
{
    if (!mayDispatch(now)) {
        refuse(work.attempt, refusal(error_code::view_not_confirmed, "", viewRetryAfter));
        return;
    }
    if (m_view->selfLeaving) {
        refuse(work.attempt, refusal(error_code::instance_stopping, "", leastRetryAfter));
        return;
    }
    const auto found = m_pools.find(poolKeyOf(work));
    if (found == m_pools.end() || found->second.members().empty()) {
        refuse(work.attempt, refusal(error_code::not_owner, "pool=" + poolKeyOf(work).name, leastRetryAfter));
        return;
    }
    pool_state &pool = found->second;
    if (m_running.contains(work.attempt) || pool.queue().contains(work.attempt)) {
        refuse(work.attempt, refusal(error_code::duplicate_attempt, "", std::nullopt));
        return;
    }
    queued_attempt item{ work, excluded, priorityOf(work.promptTokens, work.firstTokenDeadline - work.arrival), now };
    auto failure = findRefusal(pool, item, now);
    if (failure && failure->code == error_code::no_backend_server && !item.excluded.empty()) {
        item.excluded.clear();
        failure = findRefusal(pool, item, now);
    }
    if (failure) {
        refuse(work.attempt, std::move(*failure));
        return;
    }
    pool.queue().push(std::move(item));
    dispatchQueued(pool, nullptr, now);
}

std::optional<error> owner_scheduler::implementation::findRefusal(pool_state &pool, const queued_attempt &item, time_point now)
{
    const pool_load load = pool.loadFor(item, now);
    if (!load.anyAcceptsWork) {
        return refusal(error_code::no_backend_server, "reason=none_takes_work", outOfServiceRetryAfter);
    }
    if (!load.fitsSomewhere) {
        return refusal(error_code::prompt_exceeds_fleet, "need_tokens=" + std::to_string(memoryNeed(item.work)), std::nullopt);
    }
    if (pool.queue().size() >= m_options.maxQueued) {
        return refusal(error_code::queue_full, "queued=" + std::to_string(pool.queue().size()), leastRetryAfter);
    }
    // The wait of a medium or long prompt depends on later arrivals, so a multiple of it has to fit.
    const int margin = waitMargin(item.work);
    const auto wait = pool.queueWait(item.work, item.priority, load, now) * margin;
    const auto predicted = load.bestPrediction + wait;
    const auto left = item.work.firstTokenDeadline - now;
    if (predicted > left) {
        // The wait is counted margin times, so the excess shrinks by margin seconds for each second that passes.
        return targetUnreachable(predicted, left, std::max((predicted - left) / margin, load.bestPrediction - left));
    }
    return std::nullopt;
}

int owner_scheduler::implementation::waitMargin(const work_item &work) const
{
    switch (lengthClassOf(work.promptTokens)) {
    case length_class::short_prompt:
        return 1;
    case length_class::medium_prompt:
        return m_options.mediumWaitMargin;
    case length_class::long_prompt:
        return m_options.longWaitMargin;
    }
    return 1;
}

bool owner_scheduler::implementation::mayDispatch(time_point now) const
{
    return m_view != nullptr && m_view->isConfirmed(now);
}

void owner_scheduler::implementation::cancel(const attempt_id &attempt, time_point now)
{
    if (backend_state *backend = backendOf(attempt)) {
        backend->cancelled(attempt, now);
        m_actions.emplace_back(cancel_at_backend{ attempt, backend->id() });
        return;
    }
    for (auto &[key, pool] : m_pools) {
        if (pool.queue().remove(attempt)) {
            dispatchQueued(pool, nullptr, now);
            return;
        }
    }
}

void owner_scheduler::implementation::firstToken(const attempt_id &attempt, time_point now)
{
    backend_state *backend = backendOf(attempt);
    if (backend == nullptr || backend->running().at(attempt).firstTokenSeen) {
        return;
    }
    backend->firstToken(attempt, now);
    dispatchPoolsOf(*backend, now);
}

void owner_scheduler::implementation::output(const attempt_id &attempt, token_count tokens)
{
    if (backend_state *backend = backendOf(attempt)) {
        backend->output(attempt, tokens);
    }
}

void owner_scheduler::implementation::end(const attempt_id &attempt, std::optional<reset_reason> reason, time_point now)
{
    backend_state *backend = backendOf(attempt);
    if (backend == nullptr) {
        return;
    }
    m_running.erase(attempt);
    const auto ended = backend->end(attempt, reason, now);
    const auto pool = m_pools.find(poolKeyOf(ended->work));
    if (pool != m_pools.end() && !reason) {
        pool->second.observeEnd(ended->work, now - ended->sentAt, now);
    }
    dispatchPoolsOf(*backend, now);
    if (!backend->owned()) {
        removeDrained();
    }
}

void owner_scheduler::implementation::report(const engine_report &report, time_point now)
{
    const auto found = m_backends.find(report.backend);
    if (found == m_backends.end()) {
        return;
    }
    backend_state &backend = *found->second;
    backend.applyReport(report, now);
    // The notification that a cancelled stream ended may be lost; its memory still has to be freed.
    for (const attempt_id &gone : backend.endedAfterCancel(report)) {
        end(gone, std::nullopt, now);
    }
    if (!m_backends.contains(report.backend)) {
        return; // It was the last attempt on a backend server that has another owner now.
    }
    for (const attempt_id &orphan : backend.memory().orphans()) {
        m_actions.emplace_back(cancel_at_backend{ orphan, backend.id() });
    }
    dispatchPoolsOf(backend, now);
}

void owner_scheduler::implementation::cacheEvent(const backend_server_id &backend, const cache_event &event, time_point now)
{
    const auto found = m_backends.find(backend);
    if (found != m_backends.end()) {
        found->second->applyCacheEvent(event, now);
    }
}

void owner_scheduler::implementation::tick(time_point now)
{
    for (auto &[id, backend] : m_backends) {
        backend->memory().expire(now);
    }
    if (now - m_slowCheckedAt >= m_options.slowCheckInterval) {
        m_slowCheckedAt = now;
        for (auto &[id, backend] : m_backends) {
            backend->detectLateFirstTokens(now);
        }
    }
    dispatchAllPools(now);
}

std::optional<time_point> owner_scheduler::implementation::nextWake(time_point now) const
{
    time_point next = time_point::max();
    for (const auto &[key, pool] : m_pools) {
        if (pool.queue().size() > 0) {
            next = std::min(next, now + m_options.queueCheckInterval);
        }
    }
    for (const auto &[id, backend] : m_backends) {
        next = std::min(next, backend->memory().nextExpiry());
    }
    if (!m_running.empty()) {
        next = std::min(next, std::max(now, m_slowCheckedAt + m_options.slowCheckInterval));
    }
    return next == time_point::max() ? std::nullopt : std::optional(next);
}

bool owner_scheduler::implementation::holdMemory(
    const std::string &group, const backend_server_id &backend, token_count tokens, time_point until, time_point now)
{
    const auto found = m_backends.find(backend);
    if (found == m_backends.end() || !mayDispatch(now) || !found->second->takesNewWork()) {
        return false;
    }
    memory_ledger &memory = found->second->memory();
    if (!memory.holds(group) && found->second->freeSlots(now) == 0) {
        return false;
    }
    return memory.hold(group, tokens, until, now);
}

void owner_scheduler::implementation::releaseMemory(const std::string &group, time_point now)
{
    for (auto &[id, backend] : m_backends) {
        backend->memory().release(group);
    }
    dispatchAllPools(now);
}

void owner_scheduler::implementation::refuse(const attempt_id &attempt, error failure)
{
    m_actions.emplace_back(refuse_attempt{ attempt, std::move(failure) });
}

backend_state *owner_scheduler::implementation::backendOf(const attempt_id &attempt)
{
    const auto found = m_running.find(attempt);
    return found == m_running.end() ? nullptr : found->second;
}

} // namespace mustardtrail::placement

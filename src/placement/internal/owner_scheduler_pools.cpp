#include "placement/internal/owner_scheduler_impl.h"

#include <algorithm>

namespace mustardtrail::placement
{

namespace
{

constexpr std::chrono::milliseconds queuedRetryAfter{ 100 };

/// Prefill rates of a pool, in tokens a second.
struct pool_rates {
    double all = 0;
    double fastest = 0;
    bool anyAcceptsWork = false;
};

pool_rates ratesOf(const pool_state &pool)
{
    pool_rates rates;
    for (backend_state *backend : pool.members()) {
        if (!backend->takesNewWork()) {
            continue;
        }
        rates.anyAcceptsWork = true;
        if (backend->isEngine()) {
            rates.all += backend->backlog().tokensPerSecond();
            rates.fastest = std::max(rates.fastest, backend->backlog().tokensPerSecond());
        }
    }
    return rates;
}

double sentTokensAhead(const pool_state &pool, int priority, time_point now)
{
    double sum = 0;
    for (backend_state *backend : pool.members()) {
        sum += backend->takesNewWork() && backend->isEngine() ? backend->backlog().tokensAhead(priority, now) : 0;
    }
    return sum;
}

double largestShareLeft(const pool_state &pool, int priority, time_point now)
{
    double share = 0;
    for (backend_state *backend : pool.members()) {
        share = std::max(share, backend->takesNewWork() ? backend->backlog().shareLeft(priority, now) : 0);
    }
    return share > 0 ? share : 1;
}

error_code refusalCode(bool confirmed, bool anyAcceptsWork)
{
    if (!confirmed) {
        return error_code::view_not_confirmed;
    }
    return anyAcceptsWork ? error_code::target_unreachable : error_code::no_backend_server;
}

} // namespace

void owner_scheduler::implementation::rebuildPools(time_point)
{
    for (auto &[id, backend] : m_backends) {
        backend->disown();
    }
    std::map<pool_key, std::vector<backend_state *>> members;
    if (m_view != nullptr && m_view->config != nullptr) {
        for (const auto &[id, assignment] : m_view->backends) {
            const auto server = m_view->config->backendServers.find(id);
            if (assignment.owner != m_view->self || server == m_view->config->backendServers.end()) {
                continue;
            }
            auto &backend = m_backends[id];
            if (backend == nullptr) {
                backend = std::make_unique<backend_state>(server->second, m_options);
            }
            backend->configure(server->second, assignment, m_view->isolated);
            for (const model_id &model : server->second.models) {
                members[{ pool_kind::model, model.str() }].push_back(backend.get());
            }
            if (server->second.kind == config::backend_server_kind::service) {
                members[{ pool_kind::service, server->second.service.str() }].push_back(backend.get());
            }
        }
    }
    for (auto &[key, pool] : m_pools) {
        members.try_emplace(key);
    }
    for (auto &[key, list] : members) {
        m_pools.try_emplace(key, m_options).first->second.assign(std::move(list));
    }
    removeDrained();
}

void owner_scheduler::implementation::removeDrained()
{
    std::erase_if(m_backends, [](const auto &entry) {
        return !entry.second->owned() && entry.second->running().empty();
    });
}

void owner_scheduler::implementation::dispatchAllPools(time_point now)
{
    for (auto &[key, pool] : m_pools) {
        refuseOverdue(pool, now);
        pool.updateClaims(now);
        dispatchQueued(pool, nullptr, now);
    }
}

void owner_scheduler::implementation::dispatchPoolsOf(backend_state &backend, time_point now)
{
    for (auto &[key, pool] : m_pools) {
        const auto &members = pool.members();
        if (pool.queue().size() > 0 && std::find(members.begin(), members.end(), &backend) != members.end()) {
            dispatchQueued(pool, &backend, now);
        }
    }
}

void owner_scheduler::implementation::dispatchQueued(pool_state &pool, backend_state *freedBackend, time_point now)
{
    if (!mayDispatch(now)) {
        return;
    }
    dispatchClaimed(pool, now);
    pool.queue().forEachHead([&](const queued_attempt &item) {
        backend_state *backend = pool.choose(item, freedBackend, now);
        if (backend == nullptr) {
            return false;
        }
        dispatch(*backend, item, now);
        return true;
    });
}

void owner_scheduler::implementation::dispatchClaimed(pool_state &pool, time_point now)
{
    if (!pool.hasClaims()) {
        return;
    }
    pool.queue().removeIf([&](const queued_attempt &item) {
        backend_state *backend = pool.claimedEngine(item, now);
        if (backend == nullptr) {
            return false;
        }
        dispatch(*backend, item, now);
        return true;
    });
    pool.updateClaims(now);
}

void owner_scheduler::implementation::dispatch(backend_state &backend, const queued_attempt &item, time_point now)
{
    backend.recordSend(item.work, item.priority, now);
    m_running[item.work.attempt] = &backend;
    m_actions.emplace_back(
        dispatch_attempt{ item.work, backend.id(), backend.fencingNumber(), item.priority, m_view->confirmedAt + membership::viewLease });
}

void owner_scheduler::implementation::refuseOverdue(pool_state &pool, time_point now)
{
    if (pool.queue().size() == 0) {
        return;
    }
    const bool confirmed = mayDispatch(now);
    const pool_rates rates = ratesOf(pool);
    double queuedAhead = 0;
    double sentAhead = 0;
    double share = 1;
    int priority = -1;
    pool.queue().removeIf([&](const queued_attempt &item) {
        if (item.priority != priority) {
            priority = item.priority;
            sentAhead = sentTokensAhead(pool, priority, now);
            share = largestShareLeft(pool, priority, now);
        }
        const double own = static_cast<double>(item.work.promptTokens);
        const std::chrono::duration<double> earliest{ rates.all > 0 ? (sentAhead + queuedAhead) / rates.all + own / (rates.fastest * share)
                                                                    : 0 };
        const bool late = now + std::chrono::duration_cast<std::chrono::nanoseconds>(earliest) > item.work.firstTokenDeadline;
        if (confirmed && rates.anyAcceptsWork && !late) {
            queuedAhead += own;
            return false;
        }
        refuse(item.work.attempt, { refusalCode(confirmed, rates.anyAcceptsWork), verdict::not_run, "reason=queued", queuedRetryAfter });
        return true;
    });
}

} // namespace mustardtrail::placement

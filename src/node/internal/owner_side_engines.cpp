#include "node/internal/owner_side.h"

#include "base/overloaded.h"

#include <algorithm>
#include <utility>

// Load reports, cache events and memory of the engines that this instance owns.

namespace mustardtrail::node
{

void owner_side::onEngineRead(const engine_read &event, time_point now, entry_actions &out)
{
    const auto poll = m_polls.find(event.backend);
    if (!event.holdings || poll == m_polls.end() || !m_view) {
        return;
    }
    poll->second.rates = { event.holdings->report.prefillTokensPerSecond, event.holdings->report.decodeTokensPerSecond };
    carryOut(m_scheduler.onReport(event.holdings->report, now), now, out);
    for (const placement::cache_event &cached : event.cacheEvents) {
        poll->second.eventsFrom = std::max(poll->second.eventsFrom, cached.sequence + 1);
        carryOut(m_scheduler.onCacheEvent(event.backend, cached, now), now, out);
    }
    if (event.listsGroups) {
        carryOut(m_reconciler.onHoldings(*event.holdings, knownStreams(event.backend), *m_view, now), out);
    }
}

group::known_streams owner_side::knownStreams(const backend_server_id &backend) const
{
    group::known_streams streams;
    for (const auto &[attempt, owned] : m_attempts) {
        if (owned.machine && owned.dispatch.backend == backend) {
            streams.emplace(attempt, owned.dispatch.work.arrival);
        }
    }
    return streams;
}

void owner_side::carryOut(const group::reconcile_actions &actions, entry_actions &out)
{
    for (const group::reconcile_action &action : actions) {
        std::visit(overloaded{
                       [&](const group::cancel_orphan_stream &item) {
                           out.push_back(cancel_backend{ item.attempt, item.backend, addressOf(item.backend), true, item.notAfter });
                       },
                       [&](const group::release_orphan_group &item) {
                           out.push_back(release_group{ item.backend, addressOf(item.backend), item.group, item.notAfter });
                       },
                       // The machine of the attempt notices the loss on its own connection; the scheduler's count follows it.
                       [&](const group::stream_lost &) {},
                   },
            action);
    }
}

result<group::engine_memory> owner_side::engineMemory(const backend_server_id &backend, const group::group_key &key) const
{
    if (!owns(backend)) {
        return tl::unexpected(error{ error_code::not_owner, verdict::not_run, "backend=" + backend.str(), {} });
    }
    const auto &assignment = m_view->backends.at(backend);
    const bool mayGrant = assignment.acceptsNewWork || m_reservations.holds(backend, group::engineGroupOf(key));
    if (!m_view->isConfirmed(m_now) || !mayGrant) {
        return tl::unexpected(
            error{ error_code::view_not_confirmed, verdict::not_run, "backend=" + backend.str(), std::chrono::seconds(1) });
    }
    const token_count whole = m_view->config->backendServers.at(backend).memoryTokens;
    const token_count free = m_reconciler.freeApartFrom(backend, group::engineGroupOf(key)).value_or(whole);
    return group::engine_memory{ free, assignment.fencingNumber };
}

group::reserve_reply owner_side::reserve(const group::reserve_request &request, time_point now)
{
    m_now = now;
    group::reserve_reply reply = m_reservations.reserve(request, now);
    if (reply.failure || !m_view->backends.at(request.backend).acceptsNewWork) {
        // Placement counts no memory of an engine that takes no new work; what was granted before is only renewed.
        return reply;
    }
    const std::string name = group::engineGroupOf(request.key).str();
    if (!m_scheduler.holdMemory(name, request.backend, request.tokens, now + request.lease, now)) {
        m_reservations.release({ request.key, request.backend }, now);
        reply.failure = error{
            error_code::group_memory_busy, verdict::not_run, "backend=" + request.backend.str(), m_options.reservations.retryAfter
        };
    }
    return reply;
}

void owner_side::release(const group::release_request &request, time_point now, entry_actions &out)
{
    m_reservations.release(request, now);
    m_reconciler.released(request.backend, group::engineGroupOf(request.key));
    if (const auto poll = m_polls.find(request.backend); poll != m_polls.end()) {
        poll->second.groupsAreDue = true;
    }
    carryOut(m_scheduler.releaseMemory(group::engineGroupOf(request.key).str(), now), now, out);
}

std::optional<token_count> owner_side::freeTokens(const backend_server_id &backend) const
{
    return m_reconciler.freeApartFrom(backend, {});
}

std::optional<owner_side::engine_rates> owner_side::ratesFor(const model_id &model) const
{
    std::optional<engine_rates> slowest;
    for (const auto &[backend, poll] : m_polls) {
        const auto server = m_view->config->backendServers.find(backend);
        const bool serves = server != m_view->config->backendServers.end()
            && std::find(server->second.models.begin(), server->second.models.end(), model) != server->second.models.end();
        if (!serves || poll.rates.prefillTokensPerSecond <= 0 || poll.rates.decodeTokensPerSecond <= 0) {
            continue;
        }
        if (!slowest || poll.rates.prefillTokensPerSecond < slowest->prefillTokensPerSecond) {
            slowest = poll.rates;
        }
    }
    return slowest;
}

void owner_side::pollEngines(time_point now, entry_actions &out)
{
    const std::chrono::milliseconds shared(1000 * m_polls.size() / static_cast<size_t>(m_options.reportsPerSecond));
    for (auto &[backend, poll] : m_polls) {
        if (poll.next > now) {
            continue;
        }
        poll.next = now + std::max(m_options.reportInterval, shared);
        ++poll.count;
        const bool withEvents = poll.count % m_options.eventsEvery == 0;
        const bool withGroups = std::exchange(poll.groupsAreDue, false) || poll.count % m_options.groupsEvery == 0;
        out.push_back(read_engine{ backend, addressOf(backend), poll.eventsFrom, withEvents, withGroups });
    }
}

} // namespace mustardtrail::node

#include "orders/order_planner.h"

#include "orders/internal/view_lookup.h"

#include <utility>

namespace mustardtrail::orders
{

order_planner::order_planner(order_options options, random_source random)
    : m_options(std::move(options))
    , m_random(random)
{
}

order_actions order_planner::handle(const order_event &event, time_point now)
{
    std::visit(
        [&](const auto &value) {
            on(value, now);
        },
        event);
    return std::exchange(m_actions, {});
}

order_actions order_planner::onTick(time_point now)
{
    for (auto &[id, item] : m_engines) {
        if (item.wakeAt <= now) {
            wake(id, item, now);
        }
    }
    return std::exchange(m_actions, {});
}

std::optional<time_point> order_planner::nextWake() const
{
    std::optional<time_point> earliest;
    for (const auto &[id, item] : m_engines) {
        if (!earliest || item.wakeAt < *earliest) {
            earliest = item.wakeAt;
        }
    }
    return earliest;
}

bool order_planner::maySend(const send_order &action, time_point now) const
{
    const auto *assignment = assignmentOf(action.backend);
    return now < action.notAfter && mayOrder(action.backend, now) && assignment->fencingNumber == action.order.fencingNumber;
}

void order_planner::on(const view_updated &event, time_point now)
{
    const auto previous = std::exchange(m_view, event.view);
    if (m_view == nullptr || m_view->config == nullptr) {
        return;
    }
    // Nodes of the list count whether they answer or not: those behind a partition go on spending.
    m_weights.update(m_view->config->weightStoreBytesPerSecond, static_cast<std::int64_t>(m_view->peers.size()) + 1, now);
    std::erase_if(m_engines, [&](const auto &entry) {
        return assignmentOf(entry.first) == nullptr;
    });
    for (const auto &[id, assignment] : m_view->backends) {
        if (assignmentOf(id) == nullptr) {
            continue;
        }
        const auto [entry, added] = m_engines.try_emplace(id);
        engine &item = entry->second;
        if (added) {
            item.wakeAt = now;
            continue;
        }
        const auto *before = previous != nullptr ? serverOf(*previous, id) : nullptr;
        const bool changed = before == nullptr || *before != *serverOf(*m_view, id);
        if (changed && item.at == phase::idle) {
            item.failures = 0;
            item.wakeAt = now;
        }
    }
}

void order_planner::on(const state_read &event, time_point now)
{
    onWitness(event.backend, event.state, now);
    const auto found = m_engines.find(event.backend);
    if (found == m_engines.end() || found->second.at != phase::reading) {
        return;
    }
    found->second.state = event.state;
    decide(found->first, found->second, now);
}

void order_planner::on(const state_failed &event, time_point now)
{
    onWitness(event.backend, {}, now);
    const auto found = m_engines.find(event.backend);
    if (found != m_engines.end() && found->second.at == phase::reading) {
        backOff(found->second, now);
    }
}

void order_planner::on(const order_accepted &event, time_point now)
{
    const auto found = m_engines.find(event.backend);
    if (found == m_engines.end() || found->second.at != phase::ordering) {
        return;
    }
    engine &item = found->second;
    item.failures = 0;
    item.accepted = accepted_order{ *std::exchange(item.order, std::nullopt), item.state->incarnation, now };
    rest(item, m_options.settleInterval, now);
}

void order_planner::on(const order_failed &event, time_point now)
{
    const auto found = m_engines.find(event.backend);
    if (found != m_engines.end() && found->second.at == phase::ordering) {
        found->second.lastFailure = event.failure.code;
        backOff(found->second, now);
    }
}

bool order_planner::mayOrder(const backend_server_id &id, time_point now) const
{
    const auto *assignment = assignmentOf(id);
    if (assignment == nullptr || !m_view->isConfirmed(now) || m_view->isolated || m_view->selfLeaving) {
        return false;
    }
    return !isLeaving(*m_view, *serverOf(*m_view, id), *assignment) && now >= *orderableAt(id);
}

std::optional<time_point> order_planner::orderableAt(const backend_server_id &id) const
{
    const auto *assignment = assignmentOf(id);
    if (assignment == nullptr) {
        return std::nullopt;
    }
    // By then the owner before has either seen the change or lost its right to send.
    return m_options.waitForOwnership ? assignment->ownedSince + membership::viewLease + m_options.liveListLag : assignment->ownedSince;
}

const membership::backend_assignment *order_planner::assignmentOf(const backend_server_id &id) const
{
    if (m_view == nullptr || m_view->config == nullptr) {
        return nullptr;
    }
    const auto found = m_view->backends.find(id);
    const auto *server = serverOf(*m_view, id);
    const bool owned = found != m_view->backends.end() && found->second.owner == m_view->self && server != nullptr
        && server->kind == config::backend_server_kind::engine;
    return owned ? &found->second : nullptr;
}

} // namespace mustardtrail::orders

#include "orders/order_planner.h"

#include "orders/internal/order_decision.h"

#include <algorithm>
#include <utility>

namespace mustardtrail::orders
{

namespace
{

/// Engines asked, at most, whether they serve a model before a copy goes.
constexpr size_t witnessLimit = 3;
/// Between an accepted order and the read that confirms it.
constexpr std::chrono::milliseconds settleInterval{ 1000 };

const config::backend_server *serverOf(const membership::fleet_view &view, const backend_server_id &id)
{
    if (view.config == nullptr) {
        return nullptr;
    }
    const auto found = view.config->backendServers.find(id);
    return found == view.config->backendServers.end() ? nullptr : &found->second;
}

bool isLeaving(const membership::fleet_view &view, const config::backend_server &server, const membership::backend_assignment &assignment)
{
    const auto centre = view.config->dataCentres.find(server.dataCentre);
    const bool centreInService = centre == view.config->dataCentres.end() || centre->second.inService;
    // An engine that operators took out is still kept up to date, so that it returns ready.
    return server.inService && centreInService && !assignment.acceptsNewWork;
}

} // namespace

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
    rest(item, settleInterval, now);
}

void order_planner::on(const order_failed &event, time_point now)
{
    const auto found = m_engines.find(event.backend);
    if (found != m_engines.end() && found->second.at == phase::ordering) {
        found->second.lastFailure = event.failure.code;
        backOff(found->second, now);
    }
}

void order_planner::wake(const backend_server_id &id, engine &item, time_point now)
{
    switch (item.at) {
    case phase::idle:
        read(id, item, now);
        return;
    case phase::reading:
    case phase::ordering:
        item.lastFailure = error_code::backend_timeout;
        backOff(item, now);
        return;
    case phase::asking_others:
        item.witnesses.pop_front();
        askNext(item, now);
        return;
    }
}

void order_planner::read(const backend_server_id &id, engine &item, time_point now)
{
    if (!mayOrder(id, now)) {
        const auto from = orderableAt(id);
        rest(item, std::chrono::milliseconds(membership::viewLease), now);
        if (from && *from > now) {
            item.wakeAt = *from;
        }
        return;
    }
    item.at = phase::reading;
    item.wakeAt = now + m_options.stateTimeout;
    m_actions.emplace_back(read_state{ id, item.wakeAt });
}

void order_planner::decide(const backend_server_id &id, engine &item, time_point now)
{
    const config::backend_server &server = *serverOf(*m_view, id);
    if (item.state->highestFencingNumber > assignmentOf(id)->fencingNumber) {
        // A newer owner has given orders; this one's view is behind, whatever it says.
        item.lastFailure = error_code::order_fenced_off;
        rest(item, m_options.checkInterval, now);
        return;
    }
    item.order = missingOrder(server, m_options.role ? m_options.role(server) : std::string{}, *item.state);
    if (item.order) {
        dispatch(id, item, now);
        return;
    }
    item.failures = 0;
    const std::vector<loaded_model> extra = extraModels(server, *item.state);
    if (extra.empty()) {
        rest(item, m_options.checkInterval, now);
        return;
    }
    // One at random: a copy that has to stay must not keep the others from going.
    const loaded_model &target = extra[m_random.below(extra.size())];
    item.order = engine_order{ .kind = order_kind::unload, .model = target, .role = {} };
    const std::vector<backend_server_id> others = otherServersOf(*m_view->config, server, target.model);
    if (!m_options.keepLastCopy || others.empty() || servedByOtherVersion(*item.state, target)) {
        dispatch(id, item, now);
        return;
    }
    askOthers(item, others, now);
}

void order_planner::askOthers(engine &item, std::vector<backend_server_id> others, time_point now)
{
    for (size_t place = 0; place < std::min(witnessLimit, others.size()); ++place) {
        std::swap(others[place], others[place + m_random.below(others.size() - place)]);
        item.witnesses.push_back(others[place]);
    }
    askNext(item, now);
}

void order_planner::askNext(engine &item, time_point now)
{
    if (item.witnesses.empty()) {
        item.order.reset();
        rest(item, m_options.checkInterval, now);
        return;
    }
    item.at = phase::asking_others;
    item.wakeAt = now + m_options.stateTimeout;
    m_actions.emplace_back(read_state{ item.witnesses.front(), item.wakeAt });
}

void order_planner::onWitness(const backend_server_id &witness, const engine_state &state, time_point now)
{
    for (auto &[id, item] : m_engines) {
        if (item.at != phase::asking_others || item.witnesses.front() != witness) {
            continue;
        }
        if (!state.serves(item.order->model.model)) {
            item.witnesses.pop_front();
            askNext(item, now);
            continue;
        }
        item.witnesses.clear();
        dispatch(id, item, now);
    }
}

void order_planner::dispatch(const backend_server_id &id, engine &item, time_point now)
{
    if (!mayOrder(id, now)) {
        rest(item, std::chrono::milliseconds(membership::viewLease), now);
        return;
    }
    if (isRepeat(item, now)) {
        rest(item, settleInterval, now);
        return;
    }
    if (item.order->kind == order_kind::load && !payForLoad(item, now)) {
        return;
    }
    item.order->fencingNumber = assignmentOf(id)->fencingNumber;
    item.at = phase::ordering;
    item.wakeAt = now + m_options.orderTimeout;
    m_actions.emplace_back(send_order{ id, *item.order, item.wakeAt, m_view->confirmedAt + membership::viewLease });
}

bool order_planner::isRepeat(const engine &item, time_point now) const
{
    // An engine may take an order and need a while; a second load would spend the weight store's rate twice.
    return item.accepted && item.accepted->order.kind == item.order->kind && item.accepted->order.model == item.order->model
        && item.accepted->order.role == item.order->role && item.accepted->incarnation == item.state->incarnation
        && now - item.accepted->at < m_options.orderTimeout;
}

bool order_planner::payForLoad(engine &item, time_point now)
{
    const std::int64_t bytes = m_options.weightBytes ? m_options.weightBytes(item.order->model) : 0;
    if (m_weights.take(bytes, now)) {
        return true;
    }
    // The state is read again when the share has been saved: it may have changed by then.
    const auto ready = m_weights.readyAt(bytes, now);
    rest(item, m_options.checkInterval, now);
    if (ready) {
        item.wakeAt = std::max(*ready, now + settleInterval);
    }
    return false;
}

void order_planner::rest(engine &item, std::chrono::milliseconds interval, time_point now)
{
    item.at = phase::idle;
    item.order.reset();
    item.witnesses.clear();
    const auto jitter = std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(interval.count()) / 4 + 1));
    item.wakeAt = now + interval + jitter;
}

void order_planner::backOff(engine &item, time_point now)
{
    constexpr int doublingLimit = 16;
    const auto grown = m_options.backoffBase * (std::int64_t{ 1 } << std::min(item.failures, doublingLimit));
    ++item.failures;
    rest(item, std::min(grown, m_options.backoffLimit), now);
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

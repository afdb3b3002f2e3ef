#include "orders/order_planner.h"

#include "orders/internal/order_decision.h"
#include "orders/internal/view_lookup.h"

#include <algorithm>
#include <utility>

namespace mustardtrail::orders
{

namespace
{

/// Engines asked, at most, whether they serve a model before a copy goes.
constexpr size_t witnessLimit = 3;

} // namespace

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
    // A copy on an engine that takes no work serves nobody.
    std::erase_if(others, [&](const backend_server_id &other) {
        const auto assignment = m_view->backends.find(other);
        return assignment == m_view->backends.end() || !assignment->second.acceptsNewWork;
    });
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
        rest(item, m_options.settleInterval, now);
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
        item.wakeAt = std::max(*ready, now + m_options.settleInterval);
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

} // namespace mustardtrail::orders

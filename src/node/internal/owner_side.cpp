#include "node/internal/owner_side.h"

#include "base/overloaded.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace mustardtrail::node
{

namespace json = boost::json;

namespace
{

/// Priority of a completion whose prompt is prefilled already: it only decodes.
constexpr int prefilledPriority = 0;

template<typename value> void earliest(std::optional<time_point> &wake, const value &candidate)
{
    const std::optional<time_point> when = candidate;
    if (when && (!wake || *when < *wake)) {
        wake = when;
    }
}

} // namespace

owner_side::owner_side(const entry_options &options, to_origin toOrigin)
    : m_options(options)
    , m_toOrigin(std::move(toOrigin))
    , m_scheduler(options.placement)
    , m_reservations(options.reservations,
          [this](const backend_server_id &backend, const group::group_key &key) {
              return engineMemory(backend, key);
          })
    , m_reconciler(options.reconciling, [this](const backend_server_id &backend, const group::engine_group_id &name) {
        return m_reservations.holds(backend, name);
    })
{
}

bool owner_side::owns(const backend_server_id &backend) const
{
    if (!m_view) {
        return false;
    }
    const auto found = m_view->backends.find(backend);
    return found != m_view->backends.end() && found->second.owner == m_options.self;
}

endpoint owner_side::addressOf(const backend_server_id &backend) const
{
    const auto found = m_view->config->backendServers.find(backend);
    return found == m_view->config->backendServers.end() ? endpoint{} : found->second.address;
}

bool owner_side::isEngine(const backend_server_id &backend) const
{
    const auto found = m_view->config->backendServers.find(backend);
    return found == m_view->config->backendServers.end() || found->second.kind == config::backend_server_kind::engine;
}

void owner_side::onView(std::shared_ptr<const membership::fleet_view> view, time_point now, entry_actions &out)
{
    m_view = std::move(view);
    carryOut(m_scheduler.setView(m_view, now), now, out);
    for (const auto &[backend, assignment] : m_view->backends) {
        if (assignment.owner == m_options.self && isEngine(backend)) {
            m_polls.try_emplace(backend);
        } else if (m_polls.erase(backend) > 0) {
            m_reconciler.forget(backend);
        }
    }
}

void owner_side::admit(const hop_attempt &attempt, bool isLocal, time_point now, entry_actions &out)
{
    if (m_attempts.contains(attempt.work.attempt)) {
        return;
    }
    if (attempt.group) {
        admitGroup(attempt, isLocal, now, out);
        return;
    }
    owned_attempt &owned = m_attempts[attempt.work.attempt];
    owned.hop = attempt;
    owned.isLocal = isLocal;
    carryOut(m_scheduler.admit(attempt.work, attempt.excluded, now), now, out);
}

// The memory of a group is reserved, so its completion passes by the queue; only its owner sends it. A reservation is
// only granted while the engine takes new work, so a group that holds one runs there already and finishes after a drain.
void owner_side::admitGroup(const hop_attempt &attempt, bool isLocal, time_point now, entry_actions &out)
{
    const group_target &target = *attempt.group;
    owned_attempt &owned = m_attempts[attempt.work.attempt];
    owned.hop = attempt;
    owned.isLocal = isLocal;
    const bool mayRun = owns(target.backend) && m_view->isConfirmed(now) && m_reservations.holds(target.backend, target.group);
    if (!mayRun) {
        const error failure{ error_code::not_owner, verdict::not_run, "backend=" + target.backend.str(), {} };
        carryOut(placement::refuse_attempt{ attempt.work.attempt, failure }, now, out);
        return;
    }
    owned.dispatch.work = attempt.work;
    owned.dispatch.backend = target.backend;
    owned.dispatch.fencingNumber = m_view->backends.at(target.backend).fencingNumber;
    owned.dispatch.priority = prefilledPriority;
    owned.dispatch.notAfter = m_view->confirmedAt + membership::viewLease;
    startMachine(owned, now, out);
}

void owner_side::startMachine(owned_attempt &owned, time_point now, entry_actions &out)
{
    const auto kind = isEngine(owned.dispatch.backend) ? request::backend_attempt::kind::engine : request::backend_attempt::kind::service;
    owned.machine = std::make_unique<request::backend_attempt>(
        m_options.backends, kind, owned.dispatch.work.attempt, owned.dispatch.backend, owned.dispatch.work.deadline);
    carryOut(owned.dispatch.work.attempt, owned.machine->start(now), now, out);
}

void owner_side::carryOut(const placement::owner_action_list &actions, time_point now, entry_actions &out)
{
    for (const placement::owner_action &action : actions) {
        std::visit(
            [&](const auto &item) {
                carryOut(item, now, out);
            },
            action);
    }
}

void owner_side::carryOut(const placement::dispatch_attempt &action, time_point now, entry_actions &out)
{
    const auto found = m_attempts.find(action.work.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    found->second.dispatch = action;
    startMachine(found->second, now, out);
}

void owner_side::carryOut(const placement::refuse_attempt &action, time_point now, entry_actions &out)
{
    const auto found = m_attempts.find(action.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const bool isLocal = found->second.isLocal;
    const request::attempt_failed failed{ action.attempt, action.failure, {} };
    if (!isLocal) {
        reply(found->second, failed, now, out);
    }
    m_attempts.erase(found);
    m_toOrigin(failed, isLocal, now);
}

void owner_side::carryOut(const placement::cancel_at_backend &action, time_point now, entry_actions &out)
{
    if (m_attempts.contains(action.attempt)) {
        abandon(action.attempt, now, out);
        return;
    }
    out.push_back(
        cancel_backend{ action.attempt, action.backend, addressOf(action.backend), true, m_view->confirmedAt + membership::viewLease });
}

open_backend owner_side::openOf(const owned_attempt &owned, int connection) const
{
    const placement::dispatch_attempt &dispatch = owned.dispatch;
    open_backend open;
    open.attempt = dispatch.work.attempt;
    open.request = dispatch.work.request;
    open.backend = dispatch.backend;
    open.to = addressOf(dispatch.backend);
    open.connection = connection;
    open.isEngine = isEngine(dispatch.backend);
    open.priority = dispatch.priority;
    open.fencingNumber = dispatch.fencingNumber;
    open.notAfter = dispatch.notAfter;
    open.deadline = dispatch.work.deadline;
    open.prefixHash = dispatch.work.prefixHash;
    open.maxNewTokens = dispatch.work.maxNewTokens;
    open.deliveredTokens = owned.hop.deliveredTokens;
    open.deliveredText = owned.hop.deliveredText;
    open.group = owned.hop.group;
    return open;
}

void owner_side::carryOut(const attempt_id &attempt, const request::backend_actions &actions, time_point now, entry_actions &out)
{
    for (const request::backend_action &action : actions) {
        const auto found = m_attempts.find(attempt);
        if (found == m_attempts.end()) {
            return;
        }
        owned_attempt &owned = found->second;
        std::visit(overloaded{
                       [&](const request::open_stream &item) {
                           out.push_back(openOf(owned, item.connection));
                       },
                       [&](const request::resume_stream &item) {
                           out.push_back(resume_backend{ item.attempt, item.backend, addressOf(item.backend), item.connection, item.from });
                       },
                       [&](const request::cancel_stream &item) {
                           out.push_back(cancel_backend{
                               item.attempt, item.backend, addressOf(item.backend), item.atEngine && isEngine(item.backend), {} });
                       },
                       [&](const auto &event) {
                           noteEvent(owned, event, now, out);
                       },
                   },
            action);
    }
    settle(attempt);
}

placement::owner_summary owner_side::loadFor(const placement::work_item &work, time_point now) const
{
    return m_scheduler.summary(placement::poolKeyOf(work), now);
}

// Origins meet an owner of a large fleet seldom by gossip, but often by its answers.
void owner_side::reply(owned_attempt &owned, const attempt_event &event, time_point now, entry_actions &out)
{
    reply_on_hop message = std::visit(
        [](const auto &item) {
            return reply_on_hop{ item.attempt, item };
        },
        event);
    if (!owned.saidLoad || isLast(event)) {
        owned.saidLoad = true;
        message.load = loadFor(owned.hop.work, now);
    }
    out.push_back(std::move(message));
}

// Placement counts what runs; the origin gets the event as it is.
void owner_side::noteEvent(owned_attempt &owned, const attempt_event &event, time_point now, entry_actions &out)
{
    const attempt_id attempt = attemptOf(event);
    const bool isLocal = owned.isLocal;
    const bool isFirst = !owned.sawOutput;
    placement::owner_action_list actions;
    std::visit(overloaded{
                   [&](const request::attempt_accepted &) {
                       actions = m_scheduler.onAccepted(attempt, now);
                   },
                   [&](const request::attempt_output &item) {
                       owned.sawOutput = true;
                       if (isFirst) {
                           actions = m_scheduler.onFirstToken(attempt, now);
                       }
                       const auto more = m_scheduler.onOutput(attempt, item.tokens, now);
                       actions.insert(actions.end(), more.begin(), more.end());
                   },
                   [&](const request::attempt_finished &) {
                       actions = m_scheduler.onFinished(attempt, now);
                   },
                   [&](const request::attempt_failed &item) {
                       actions = m_scheduler.onFailed(attempt, item.failure, now);
                   },
               },
        event);
    if (!isLocal) {
        reply(owned, event, now, out);
    }
    m_toOrigin(event, isLocal, now);
    carryOut(actions, now, out);
}

void owner_side::settle(const attempt_id &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || !found->second.machine) {
        return;
    }
    owned_attempt &owned = found->second;
    if (owned.machine->isDone()) {
        forget(attempt);
        return;
    }
    const auto wake = owned.machine->nextWake();
    if (wake == owned.wake) {
        return;
    }
    if (owned.wake) {
        m_wakes.erase({ *owned.wake, attempt });
    }
    if (wake) {
        m_wakes.emplace(*wake, attempt);
    }
    owned.wake = wake;
}

void owner_side::forget(const attempt_id &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found->second.wake) {
        m_wakes.erase({ *found->second.wake, attempt });
    }
    m_attempts.erase(found);
}

void owner_side::abandon(const attempt_id &attempt, time_point now, entry_actions &out)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const auto queued = m_scheduler.cancel(attempt, now);
    if (!found->second.machine) {
        m_attempts.erase(found);
        carryOut(queued, now, out);
        return;
    }
    carryOut(attempt, found->second.machine->handle(request::attempt_abandoned{}, now), now, out);
    const error gone{ error_code::caller_gone, verdict::may_have_run, "abandoned", {} };
    carryOut(m_scheduler.onFailed(attempt, gone, now), now, out);
}

void owner_side::onBackend(const backend_reported &event, time_point now, entry_actions &out)
{
    const auto found = m_attempts.find(event.attempt);
    if (found == m_attempts.end() || !found->second.machine) {
        return;
    }
    carryOut(event.attempt, found->second.machine->handle(event.event, now), now, out);
}

void owner_side::onTick(time_point now, entry_actions &out)
{
    if (!m_view) {
        return;
    }
    carryOut(m_scheduler.onTick(now), now, out);
    m_reservations.onTick(now);
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        const attempt_id attempt = m_wakes.begin()->second;
        owned_attempt &owned = m_attempts.at(attempt);
        m_wakes.erase(m_wakes.begin());
        owned.wake.reset();
        carryOut(attempt, owned.machine->onTick(now), now, out);
    }
    pollEngines(now, out);
    if (m_nextSummary <= now) {
        m_nextSummary = now + m_options.summaryInterval;
        out.push_back(publish_summary{ m_scheduler.summary(now) });
    }
}

std::optional<time_point> owner_side::nextWake(time_point now) const
{
    std::optional<time_point> wake;
    if (!m_view) {
        return wake;
    }
    earliest(wake, m_scheduler.nextWake(now));
    earliest(wake, m_reservations.nextWake());
    earliest(wake, m_nextSummary);
    if (!m_wakes.empty()) {
        earliest(wake, m_wakes.begin()->first);
    }
    for (const auto &[backend, poll] : m_polls) {
        earliest(wake, poll.next);
    }
    return wake;
}

size_t owner_side::runningAttempts() const
{
    return m_attempts.size();
}

json::object owner_side::dump(time_point now) const
{
    json::array attempts;
    for (const auto &[attempt, owned] : m_attempts) {
        attempts.push_back(
            owned.machine ? owned.machine->dump(now) : json::value(json::object{ { "attempt", attempt.str() }, { "state", "queued" } }));
    }
    return { { "placement", m_scheduler.dump(now) },
        { "reservations", m_reservations.dump(now) },
        { "memory", m_reconciler.dump(now) },
        { "attempts", std::move(attempts) } };
}

} // namespace mustardtrail::node

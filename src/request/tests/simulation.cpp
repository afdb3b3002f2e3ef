#include "request/tests/simulation.h"

#include "request/tests/fixture.h"
#include "request/tests/simulated_answer.h"

#include <algorithm>

namespace mustardtrail::request::testing
{

namespace
{

constexpr int callers = 40;
constexpr int sendingMs = 4000;
constexpr int endMs = 15000;
constexpr int maxTries = 4;
constexpr milliseconds viewInterval{ 400 };
constexpr milliseconds keyWindow{ 3000 };
constexpr milliseconds warmUp = keyWindow + milliseconds(5001); ///< Time until the key homes have a complete history.

const std::vector<std::string> &nodeNames()
{
    static const std::vector<std::string> names{ "e1", "e2", "e3" };
    return names;
}

} // namespace

simulation::simulation(std::uint64_t seed)
    : m_random(seed)
    , m_now(at(0) - warmUp)
{
    for (const std::string &name : nodeNames()) {
        startNode(name);
    }
    refreshViews();
    for (int index = 0; index < callers; ++index) {
        const std::string id = std::to_string(index) + "c";
        caller added;
        added.repeatable = chance(50);
        added.key = !added.repeatable && chance(60) ? std::to_string(index) + "key" : "";
        m_callers.emplace(id, added);
        const milliseconds start = warmUp + delay(sendingMs);
        after(start, [this, id] {
            sendRequest(id);
        });
        if (!added.key.empty() && chance(15)) {
            after(start + delay(100), [this, id] {
                sendRequest(id);
            });
        }
    }
    if (chance(30)) {
        const milliseconds start = warmUp + delay(sendingMs);
        after(start, [this] {
            m_partitioned = true;
        });
        after(start + delay(2000), [this] {
            m_partitioned = false;
        });
    }
    if (chance(40)) {
        const std::string victim = nodeNames()[m_random.below(3)];
        // Keys of dc2 have e3 as their only home: if it may die, callers must mark their retries.
        m_callersMarkRetries = victim == "e3" || chance(50);
        after(warmUp + delay(sendingMs), [this, victim] {
            killNode(victim);
        });
    }
}

void simulation::run()
{
    while (!m_steps.empty()) {
        const auto next = m_steps.begin();
        m_now = std::max(m_now, next->first);
        const std::function<void()> step = std::move(next->second);
        m_steps.erase(next);
        step();
    }
    for (const std::string &name : nodeNames()) {
        addTotals(name);
    }
}

void simulation::addTotals(const std::string &name)
{
    m_totals.retries += m_nodes.at(name).core->counters().retries;
    m_totals.continuations += m_nodes.at(name).core->counters().continuations;
}

const std::vector<trace_entry> &simulation::trace() const
{
    return m_trace;
}

const request_counters &simulation::totals() const
{
    return m_totals;
}

bool simulation::chance(int percent)
{
    return m_random.below(100) < static_cast<std::uint64_t>(percent);
}

milliseconds simulation::delay(int limit)
{
    return milliseconds(m_random.below(static_cast<std::uint64_t>(limit)));
}

void simulation::after(milliseconds wait, std::function<void()> step)
{
    m_steps.emplace(m_now + wait, std::move(step));
}

void simulation::startNode(const std::string &name)
{
    node &target = m_nodes[name];
    key_home_options homeOptions;
    homeOptions.window = keyWindow;
    target.alive = true;
    ++target.incarnation;
    target.home = std::make_unique<key_home>(homeOptions, instance_id(name));
    const auto choose = [this, name](const placement::work_item &work, const auto &backends, const auto &instances, time_point) {
        const auto view = makeView(name, m_now);
        return chooseFirst(*view, work, backends, instances);
    };
    request_core_options options;
    options.claimTimeout = milliseconds(100);
    target.core = std::make_unique<request_core>(options, instance_id(name), m_random.below(1000), choose);
}

void simulation::killNode(const std::string &name)
{
    m_nodes.at(name).alive = false;
    addTotals(name);
    for (auto entry = m_originOf.begin(); entry != m_originOf.end();) {
        const std::string request = entry->first;
        const bool lost = entry->second == name;
        entry = lost ? m_originOf.erase(entry) : std::next(entry);
        if (lost) {
            record(trace_kind::origin_died, request);
            scheduleCallerRetry(m_callerOf.at(request));
        }
    }
    for (auto &[id, attempt] : m_attempts) {
        if (attempt.owner == name && !attempt.stopped) {
            attempt.stopped = true;
            const error failure{ error_code::peer_connection_lost, verdict::may_have_run, "", {} };
            // The origin detects the broken connection itself, also during a partition.
            sendEvent(attempt.origin, attempt.origin, attempt_failed{ attempt_id(id), failure, {} });
        }
    }
    after(milliseconds(200) + delay(800), [this, name] {
        startNode(name);
        const auto view = makeView(name, m_now);
        m_nodes.at(name).home->onView(view);
        m_nodes.at(name).core->onView(view, m_now);
    });
}

void simulation::refreshViews()
{
    for (const std::string &name : nodeNames()) {
        std::vector<std::string> dead;
        for (const auto &[peer, target] : m_nodes) {
            if (!target.alive || !isReachable(name, peer)) {
                dead.push_back(peer);
            }
        }
        const auto view = makeView(name, m_now, dead);
        if (m_nodes.at(name).alive) {
            m_nodes.at(name).home->onView(view);
            handOverKeys(name);
            runCore(name, [&](request_core &core) {
                return core.onView(view, m_now);
            });
        }
    }
    if (m_now < at(endMs)) {
        after(viewInterval, [this] {
            refreshViews();
        });
    }
}

void simulation::handOverKeys(const std::string &name)
{
    for (const key_handover &handover : m_nodes.at(name).home->handOverToNewHomes(m_now)) {
        const std::string to = handover.home.str();
        after(delay(20), [this, name, to, handover] {
            if (m_nodes.at(to).alive && isReachable(name, to)) {
                m_nodes.at(to).home->acceptHandover(handover, m_now);
            }
        });
    }
}

void simulation::runCore(const std::string &name, const std::function<request_core::actions(request_core &)> &step)
{
    node &target = m_nodes.at(name);
    if (!target.alive) {
        return;
    }
    for (const request_action &action : step(*target.core)) {
        act(name, action);
    }
    const int incarnation = target.incarnation;
    if (const std::optional<time_point> wake = target.core->nextWake()) {
        m_steps.emplace(*wake, [this, name, incarnation] {
            if (m_nodes.at(name).incarnation == incarnation && m_nodes.at(name).core->nextWake() <= m_now) {
                runCore(name, [this](request_core &core) {
                    return core.onTick(m_now);
                });
            }
        });
    }
}

bool simulation::isReachable(const std::string &from, const std::string &to) const
{
    return !m_partitioned || (from == "e3") == (to == "e3");
}

void simulation::sendEvent(const std::string &from, const std::string &to, const request_event &event)
{
    const int copies = chance(2) ? 0 : chance(10) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        after(delay(20), [this, from, to, event] {
            if (isReachable(from, to)) {
                runCore(to, [&](request_core &core) {
                    return core.handle(event, m_now);
                });
            }
        });
    }
}

void simulation::sendRequest(const std::string &callerId)
{
    caller &sender = m_callers.at(callerId);
    const std::string name = nodeNames()[m_random.below(3)];
    if (!m_nodes.at(name).alive) {
        return scheduleCallerRetry(callerId);
    }
    const std::string id = callerId + "-" + std::to_string(m_nextRequest++);
    caller_request request = sender.repeatable ? makeLookup(id) : makeDeposit(id, sender.key);
    request.callerRetry = sender.tries++ > 0 && m_callersMarkRetries;
    m_callerOf.emplace(id, callerId);
    m_originOf.emplace(id, name);
    trace_entry sent{ m_now, trace_kind::sent, id, sender.key, sender.repeatable, answerOf(request.id, !sender.repeatable) };
    m_trace.push_back(sent);
    runCore(name, [&](request_core &core) {
        return core.handle(request, m_now);
    });
    if (chance(5)) {
        after(delay(200), [this, name, id] {
            runCore(name, [&](request_core &core) {
                return core.handle(caller_gone{ request_id(id) }, m_now);
            });
        });
    }
}

void simulation::scheduleCallerRetry(const std::string &callerId)
{
    const caller &sender = m_callers.at(callerId);
    const bool mayReturn = !sender.completed && sender.tries < maxTries && !sender.key.empty();
    if (mayReturn) {
        after(milliseconds(20) + delay(300), [this, callerId] {
            sendRequest(callerId);
        });
    }
}

void simulation::record(trace_kind kind, const std::string &request, const std::string &text, verdict outcome)
{
    m_trace.push_back({ m_now, kind, request, "", true, text, outcome });
}

void simulation::act(const std::string &name, const request_action &action)
{
    std::visit(
        [&](const auto &typed) {
            act(name, typed);
        },
        action);
}

void simulation::act(const std::string &name, const relay_output &action)
{
    (void)name;
    record(trace_kind::output, action.request.str(), action.text);
}

void simulation::act(const std::string &name, const complete_request &action)
{
    (void)name;
    m_originOf.erase(action.request.str());
    m_callers.at(m_callerOf.at(action.request.str())).completed = true;
    ++m_totals.completed;
    record(trace_kind::completed, action.request.str());
}

void simulation::act(const std::string &name, const fail_request &action)
{
    (void)name;
    m_originOf.erase(action.request.str());
    ++m_totals.failed;
    record(trace_kind::failed, action.request.str(), "", action.failure.outcome);
    scheduleCallerRetry(m_callerOf.at(action.request.str()));
}

void simulation::act(const std::string &name, const send_key_claim &action)
{
    const std::string home = action.home.str();
    const int copies = chance(5) ? 0 : chance(10) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        after(delay(40), [this, name, home, claim = action.claim] {
            if (m_nodes.at(home).alive && isReachable(name, home)) {
                return sendEvent(home, name, m_nodes.at(home).home->claim(claim, m_now));
            }
            const error failure{ error_code::peer_connect_failed, verdict::not_run, "", {} };
            sendEvent(name, name, key_claim_failed{ claim.request, instance_id(home), failure });
        });
    }
}

void simulation::act(const std::string &name, const send_key_outcome &action)
{
    const std::string home = action.home.str();
    if (chance(10)) {
        return;
    }
    after(delay(20), [this, name, home, outcome = action.outcome] {
        if (m_nodes.at(home).alive && isReachable(name, home)) {
            m_nodes.at(home).home->recordOutcome(outcome, m_now);
        }
    });
}

} // namespace mustardtrail::request::testing

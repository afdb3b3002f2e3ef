#include "node/tests/fleet.h"

#include "node/tests/action_text.h"
#include "node/tests/fleet_config.h"

namespace mustardtrail::node::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds settleTime = 45s; ///< Above the grace of memory that nobody claims.
constexpr std::uint64_t seedStride = 64;
constexpr std::chrono::milliseconds longestTravel = 40ms;

} // namespace

fleet::fleet(std::uint64_t seed)
    : m_random(seed)
    , m_nextSeed(seed * seedStride)
    , m_config(makeFleetConfig())
{
    for (const auto &[id, server] : m_config->backendServers) {
        m_backends.emplace(id, std::make_unique<fake_backend>(server, m_time, m_trace));
    }
    for (const membership::peer &self : makeFleetPeers()) {
        host made;
        made.self = self;
        m_hosts.push_back(std::move(made));
        start(m_hosts.size() - 1);
    }
    feedViews();
}

void fleet::start(size_t node)
{
    host &starting = m_hosts[node];
    entry_options options;
    options.self = starting.self.id;
    options.seed = ++m_nextSeed;
    starting.node = std::make_unique<entry_node>(options);
    starting.alive = true;
    starting.leaving = false;
    starting.pausedUntil = {};
    starting.ownedSince.clear();
    starting.fencingNumbers.clear();
    starting.lastContact.clear();
    starting.config = m_config;
    starting.viewConfig = m_config;
    ++starting.self.incarnation;
}

timeline &fleet::time()
{
    return m_time;
}

session_trace &fleet::trace()
{
    return m_trace;
}

size_t fleet::size() const
{
    return m_hosts.size();
}

fake_backend &fleet::backend(const std::string &id)
{
    return *m_backends.at(backend_server_id(id));
}

std::uint64_t fleet::count(const std::string &what) const
{
    const auto found = m_counts.find(what);
    return found == m_counts.end() ? 0 : found->second;
}

bool fleet::isPaused(size_t node) const
{
    return m_time.now() < m_hosts[node].pausedUntil;
}

bool fleet::reaches(size_t from, size_t to) const
{
    const auto cut = m_cuts.find({ std::min(from, to), std::max(from, to) });
    const bool isCut = cut != m_cuts.end() && m_time.now() < cut->second;
    return m_hosts[from].alive && m_hosts[to].alive && !isCut;
}

std::optional<size_t> fleet::nodeAt(const endpoint &address) const
{
    for (size_t node = 0; node < m_hosts.size(); ++node) {
        if (m_hosts[node].self.requests == address) {
            return node;
        }
    }
    return std::nullopt;
}

bool fleet::mangles()
{
    return m_manglePercent > 0 && m_random.below(100) < m_manglePercent;
}

std::chrono::milliseconds fleet::travel()
{
    const auto extra = mangles() ? m_random.below(static_cast<std::uint64_t>(longestTravel.count())) : 0;
    return 1ms + std::chrono::milliseconds(extra);
}

void fleet::deliverSoon(size_t node, const entry_event &event)
{
    m_time.after(1ms, [this, node, event] {
        deliver(node, event);
    });
}

void fleet::deliver(size_t node, const entry_event &event)
{
    host &to = m_hosts[node];
    if (!to.alive) {
        return;
    }
    if (isPaused(node) || !to.waiting.empty()) {
        to.waiting.push_back(event);
        return;
    }
    handleNow(node, event);
}

void fleet::handleNow(size_t node, const entry_event &event)
{
    if (const auto *arrived = std::get_if<request::caller_request>(&event)) {
        const config::work_class &workClass = m_hosts[node].viewConfig->classes.at(arrived->workClass);
        m_trace.requests.at(arrived->id).deadline = m_time.now() + workClass.totalTarget;
    }
    if (const auto *received = std::get_if<view_received>(&event)) {
        m_hosts[node].viewConfirmedAt = received->view->confirmedAt;
        m_hosts[node].viewConfig = received->view->config;
    }
    const entry_actions actions = m_hosts[node].node->handle(event, m_time.now());
    for (const entry_action &action : actions) {
        note(m_hosts[node].self.id.str() + " " + toText(action, m_time.now()));
        std::visit(
            [&](const auto &item) {
                act(node, item);
            },
            action);
    }
    scheduleWake(node);
}

void fleet::note(const std::string &line)
{
    if (m_recording) {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(m_time.now().time_since_epoch());
        m_trace.log.push_back(std::to_string(at.count()) + " " + line);
    }
}

void fleet::record()
{
    m_recording = true;
}

void fleet::scheduleWake(size_t node)
{
    host &to = m_hosts[node];
    const auto wake = to.node->nextWake(m_time.now());
    if (!wake) {
        return;
    }
    const time_point due = std::max(*wake, m_time.now() + 1ms);
    if (to.wake > m_time.now() && to.wake <= due) {
        return;
    }
    to.wake = due;
    m_time.at(due, [this, node, due] {
        tick(node, due);
    });
}

void fleet::tick(size_t node, time_point due)
{
    host &to = m_hosts[node];
    if (to.alive && to.wake == due && !isPaused(node)) {
        handleNow(node, clock_tick{});
    }
}

void fleet::resume(size_t node)
{
    host &to = m_hosts[node];
    if (!to.alive || isPaused(node)) {
        return;
    }
    const auto waiting = std::move(to.waiting);
    to.waiting.clear();
    for (const entry_event &event : waiting) {
        handleNow(node, event);
    }
    handleNow(node, clock_tick{});
}

void fleet::send(size_t node, request::caller_request request)
{
    if (!m_hosts[node].alive) {
        return;
    }
    note("caller request=" + request.id.str() + " node=" + m_hosts[node].self.id.str() + " key=" + request.idempotencyKey);
    const config::work_class &workClass = m_config->classes.at(request.workClass);
    traced_request traced;
    traced.deadline = time_point::max();
    traced.repeatable = workClass.repeatable;
    traced.key = request.idempotencyKey;
    traced.expected = expectedAnswer(request.id);
    m_trace.requests.emplace(request.id, traced);
    m_origins.emplace(request.id, node);
    deliver(node, request);
}

void fleet::leave(const request_id &request)
{
    const auto origin = m_origins.find(request);
    if (origin == m_origins.end()) {
        return;
    }
    note("leave request=" + request.str());
    m_trace.requests.at(request).excused = true;
    deliver(origin->second, request::caller_gone{ request });
}

void fleet::finish()
{
    m_manglePercent = 0;
    for (auto &[id, backend] : m_backends) {
        backend->setMood(backend_mood::serves);
    }
    m_time.runUntil(m_time.now() + settleTime);
    for (const auto &[id, backend] : m_backends) {
        if (backend->server().kind == config::backend_server_kind::engine) {
            m_trace.heldAtEnd[id.str()] = backend->heldTokens();
        }
    }
}

} // namespace mustardtrail::node::testing

#include "node/tests/fleet.h"

namespace mustardtrail::node::testing
{

using namespace std::chrono_literals;

namespace
{

/// How long the views need to agree again after a fault.
constexpr std::chrono::milliseconds reunion = 12s;
/// When an empty instance takes the place of a killed one.
constexpr std::chrono::milliseconds replacement = 4s;
/// How long a change takes to an instance at most, in milliseconds.
constexpr std::uint64_t longestSpread = 1500;

} // namespace

void fleet::kill(size_t node)
{
    note("kill " + m_hosts[node].self.id.str());
    host &gone = m_hosts[node];
    if (!gone.alive) {
        return;
    }
    gone.alive = false;
    gone.waiting.clear();
    m_disturbedUntil = std::max(m_disturbedUntil, m_time.now() + reunion);
    for (const auto &[request, origin] : m_origins) {
        traced_request &traced = m_trace.requests.at(request);
        traced.excused = traced.excused || (origin == node && traced.finals.empty());
    }
    const auto hops = m_hops;
    for (const auto &[attempt, hop] : hops) {
        if (hop.origin == node || hop.owner == node) {
            failHop(attempt);
        }
    }
    dropConnections(node);
    m_time.after(replacement, [this, node] {
        note("start " + m_hosts[node].self.id.str());
        start(node);
    });
}

void fleet::dropConnections(size_t node)
{
    const auto connections = m_connections;
    for (const auto &[connection, owner] : connections) {
        if (owner != node) {
            continue;
        }
        m_connections.erase(connection);
        for (auto &[id, backend] : m_backends) {
            backend->disconnect(connection.first);
        }
    }
}

void fleet::pause(size_t node, std::chrono::milliseconds duration)
{
    note("pause " + m_hosts[node].self.id.str() + " ms=" + std::to_string(duration.count()));
    host &paused = m_hosts[node];
    paused.pausedUntil = std::max(paused.pausedUntil, m_time.now() + duration);
    m_disturbedUntil = std::max(m_disturbedUntil, paused.pausedUntil + reunion);
    for (const auto &[request, origin] : m_origins) {
        traced_request &traced = m_trace.requests.at(request);
        if (origin == node && traced.finals.empty()) {
            traced.deadline = std::max(traced.deadline, paused.pausedUntil);
        }
    }
    m_time.at(paused.pausedUntil + (m_sendsFirst ? 1ms : 0ms), [this, node] {
        resume(node);
    });
}

void fleet::cut(size_t left, size_t right, std::chrono::milliseconds duration)
{
    note("cut " + m_hosts[left].self.id.str() + " " + m_hosts[right].self.id.str() + " ms=" + std::to_string(duration.count()));
    m_cuts[{ std::min(left, right), std::max(left, right) }] = m_time.now() + duration;
    m_disturbedUntil = std::max(m_disturbedUntil, m_time.now() + duration + reunion);
    const auto hops = m_hops;
    for (const auto &[attempt, hop] : hops) {
        if (!reaches(hop.origin, hop.owner)) {
            failHop(attempt);
        }
    }
}

void fleet::stop(size_t node)
{
    note("stop " + m_hosts[node].self.id.str());
    if (!m_hosts[node].alive || m_hosts[node].leaving) {
        return;
    }
    m_hosts[node].leaving = true;
    m_disturbedUntil = std::max(m_disturbedUntil, m_time.now() + reunion);
    deliver(node, begin_stop{});
}

void fleet::withholdViews(size_t node, std::chrono::milliseconds duration)
{
    note("no_views " + m_hosts[node].self.id.str() + " ms=" + std::to_string(duration.count()));
    m_hosts[node].viewsFrom = m_time.now() + duration;
    m_disturbedUntil = std::max(m_disturbedUntil, m_time.now() + duration + reunion);
}

void fleet::drain(const data_centre_id &dataCentre, bool inService)
{
    note("drain " + dataCentre.str() + " in_service=" + std::to_string(static_cast<int>(inService)));
    auto config = std::make_shared<config::configuration>(*m_config);
    ++config->revision;
    config->dataCentres.at(dataCentre).inService = inService;
    m_config = config;
    for (host &each : m_hosts) {
        each.config = config;
    }
    if (inService) {
        m_trace.drainedAt.erase(dataCentre);
    } else {
        m_trace.drainedAt[dataCentre] = m_time.now() + 100ms;
    }
    m_disturbedUntil = std::max(m_disturbedUntil, m_time.now() + reunion);
}

void fleet::change(const std::function<void(config::configuration &)> &edit)
{
    auto changed = std::make_shared<config::configuration>(*m_config);
    ++changed->revision;
    edit(*changed);
    m_config = changed;
    note("change revision=" + std::to_string(changed->revision));
    for (size_t node = 0; node < m_hosts.size(); ++node) {
        const std::uint64_t copies = 1 + m_random.below(2);
        for (std::uint64_t copy = 0; copy < copies; ++copy) {
            m_time.after(std::chrono::milliseconds(1 + m_random.below(longestSpread)), [this, node, changed] {
                offer(node, changed);
            });
        }
    }
}

// As the store of the view program does.
void fleet::offer(size_t node, const std::shared_ptr<const config::configuration> &config)
{
    if (config->revision > m_hosts[node].config->revision) {
        m_hosts[node].config = config;
    }
}

void fleet::letLatePiecesPass()
{
    m_latePieces = true;
}

void fleet::letSendsGoFirst()
{
    m_sendsFirst = true;
}

void fleet::setMangling(unsigned percent)
{
    m_manglePercent = percent;
}

} // namespace mustardtrail::node::testing

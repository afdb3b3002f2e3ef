#include "node/tests/fleet.h"

namespace mustardtrail::node::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t longestLate = 100; // Milliseconds.

} // namespace

void fleet::act(size_t, const request::relay_output &action)
{
    m_trace.requests.at(action.request).delivered += action.text;
}

void fleet::act(size_t, const request::complete_request &action)
{
    ++m_counts["completed"];
    m_trace.requests.at(action.request).finals.push_back({ m_time.now(), std::nullopt });
}

void fleet::act(size_t, const request::fail_request &action)
{
    ++m_counts[action.failure.outcome == verdict::not_run ? "refused" : "failed"];
    m_trace.requests.at(action.request).finals.push_back({ m_time.now(), action.failure });
}

void fleet::act(size_t node, const open_backend &action)
{
    m_connections[{ action.attempt, action.connection }] = node;
    if (m_time.now() >= action.notAfter) {
        m_trace.staleSends.push_back("opened " + action.request.str() + " to " + action.backend.str());
    }
    m_time.after(1ms, [this, node, action] {
        sendToBackend(node, action);
    });
}

// The host's last look at the clock, between the decision and the first byte.
void fleet::sendToBackend(size_t node, const open_backend &action)
{
    if (!m_hosts[node].alive || !m_connections.contains({ action.attempt, action.connection })) {
        return;
    }
    if (isPaused(node) || (!m_sendsFirst && !m_hosts[node].waiting.empty())) {
        m_time.at(std::max(m_hosts[node].pausedUntil, m_time.now() + 1ms), [this, node, action] {
            sendToBackend(node, action);
        });
        return;
    }
    if (m_time.now() >= action.notAfter) {
        m_connections.erase({ action.attempt, action.connection });
        deliver(node, backend_reported{ action.attempt, request::connection_lost{ action.connection } });
        return;
    }
    if (m_time.now() >= m_hosts[node].viewConfirmedAt + membership::viewLease) {
        m_trace.staleSends.push_back("sent " + action.request.str() + " to " + action.backend.str());
    }
    deliver(node, backend_reported{ action.attempt, request::request_sent{ action.connection } });
    m_time.after(1ms, [this, node, action] {
        m_backends.at(action.backend)->arrive(action, replyTo(node, action.attempt, action.connection), viewsAgree());
    });
}

fake_backend::to_owner fleet::replyTo(size_t node, const attempt_id &attempt, int connection)
{
    const std::uint64_t incarnation = m_hosts[node].self.incarnation;
    return [this, node, attempt, connection, incarnation](const request::backend_event &event) {
        m_time.after(1ms, [this, node, attempt, connection, incarnation, event] {
            if (!m_connections.contains({ attempt, connection })) {
                return deliverLate(node, incarnation, backend_reported{ attempt, event });
            }
            if (std::holds_alternative<request::connection_lost>(event)) {
                m_connections.erase({ attempt, connection });
            }
            deliver(node, backend_reported{ attempt, event });
        });
    };
}

void fleet::deliverLate(size_t node, std::uint64_t incarnation, const entry_event &event)
{
    if (!m_latePieces) {
        return;
    }
    m_time.after(std::chrono::milliseconds(1 + m_random.below(longestLate)), [this, node, incarnation, event] {
        if (m_hosts[node].self.incarnation == incarnation) {
            ++m_counts["late pieces"];
            deliver(node, event);
        }
    });
}

void fleet::act(size_t node, const resume_backend &action)
{
    m_connections[{ action.attempt, action.connection }] = node;
    m_time.after(2ms, [this, node, action] {
        if (m_hosts[node].alive && m_connections.contains({ action.attempt, action.connection })) {
            const auto reply = replyTo(node, action.attempt, action.connection);
            m_backends.at(action.backend)->resume(action.attempt, action.connection, action.from, reply);
        }
    });
}

void fleet::act(size_t node, const cancel_backend &action)
{
    std::erase_if(m_connections, [&](const auto &entry) {
        return entry.first.first == action.attempt && entry.second == node;
    });
    const std::uint64_t longer = m_latePieces ? m_random.below(longestLate) : 0;
    m_time.after(1ms + std::chrono::milliseconds(longer), [this, node, action] {
        if (action.isEngine) {
            m_backends.at(action.backend)->cancel(action.attempt);
        } else {
            m_backends.at(action.backend)->disconnect(action.attempt);
        }
        deliverSoon(node, backend_reported{ action.attempt, request::cancel_acknowledged{} });
    });
}

void fleet::act(size_t node, const read_engine &action)
{
    m_time.after(1ms, [this, node, action] {
        engine_read read;
        read.backend = action.backend;
        read.holdings = group::engine_holdings{ m_backends.at(action.backend)->report(), m_backends.at(action.backend)->groups() };
        read.listsGroups = action.withGroups;
        deliverSoon(node, read);
    });
}

void fleet::act(size_t node, const call_engine &action)
{
    const backend_server_id backend = std::visit(
        [](const auto &call) {
            return call.call.backend;
        },
        action.call);
    ++m_counts["group calls"];
    m_time.after(5ms, [this, node, backend, action] {
        deliverSoon(node, m_backends.at(backend)->serve(action));
    });
}

void fleet::act(size_t, const release_group &action)
{
    m_backends.at(action.backend)->release(action.group);
}

} // namespace mustardtrail::node::testing

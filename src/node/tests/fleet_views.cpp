#include "membership/ownership.h"
#include "node/tests/fleet.h"

namespace mustardtrail::node::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds viewInterval = 100ms;
constexpr std::chrono::milliseconds deadAfter = 2000ms;

} // namespace

void fleet::feedViews()
{
    for (size_t node = 0; node < m_hosts.size(); ++node) {
        feedView(node);
    }
    m_time.after(viewInterval, [this] {
        feedViews();
    });
}

void fleet::feedView(size_t node)
{
    host &to = m_hosts[node];
    for (size_t other = 0; other < m_hosts.size(); ++other) {
        const auto [contact, isNew] = to.lastContact.try_emplace(m_hosts[other].self.id, m_time.now());
        if (isNew || (reaches(node, other) && !isPaused(other) && !isPaused(node))) {
            contact->second = m_time.now();
        }
    }
    if (to.alive && !isPaused(node) && m_time.now() >= to.viewsFrom) {
        deliver(node, view_received{ viewOf(node) });
    }
}

std::shared_ptr<membership::fleet_view> fleet::viewOf(size_t node)
{
    host &to = m_hosts[node];
    auto view = std::make_shared<membership::fleet_view>();
    view->config = to.config;
    view->self = to.self.id;
    view->selfDataCentre = to.self.dataCentre;
    view->selfLeaving = to.leaving;
    view->confirmedAt = m_time.now();
    view->isolated = true;
    for (const host &other : m_hosts) {
        if (other.self.id == to.self.id) {
            continue;
        }
        membership::peer peer = other.self;
        const bool isDead = m_time.now() - to.lastContact.at(peer.id) >= deadAfter;
        peer.state = isDead ? membership::peer_state::dead
            : other.leaving ? membership::peer_state::leaving
                            : membership::peer_state::alive;
        view->isolated = view->isolated && isDead;
        view->peers.emplace(peer.id, peer);
    }
    assign(node, *view);
    return view;
}

void fleet::assign(size_t node, membership::fleet_view &view)
{
    host &to = m_hosts[node];
    for (const auto &[id, server] : to.config->backendServers) {
        std::vector<instance_id> candidates;
        for (const auto &[peerId, peer] : view.peers) {
            if (peer.dataCentre == server.dataCentre && peer.state == membership::peer_state::alive) {
                candidates.push_back(peerId);
            }
        }
        if (to.self.dataCentre == server.dataCentre && !to.leaving) {
            candidates.push_back(to.self.id);
        }
        membership::backend_assignment assignment;
        assignment.owner = membership::ownerOf(id, candidates);
        assignment.acceptsNewWork = server.inService && to.config->dataCentres.at(server.dataCentre).inService;
        if (assignment.owner == to.self.id) {
            const bool isFirstView = m_time.now() == time_point(10s);
            const auto since = to.ownedSince.try_emplace(id, isFirstView ? time_point(1s) : m_time.now()).first->second;
            assignment.ownedSince = since;
            assignment.fencingNumber = fencingNumberOf(to, id, since);
        } else {
            to.fencingNumbers.erase(id);
            to.ownedSince.erase(id);
        }
        view.backends.emplace(id, assignment);
    }
}

// An owner that meets a higher number at its engine, of an owner that was wrong or has left, takes a new one.
std::uint64_t fleet::fencingNumberOf(host &owner, const backend_server_id &backend, time_point since)
{
    std::uint64_t &number = owner.fencingNumbers[backend];
    number = std::max(number, static_cast<std::uint64_t>(since.time_since_epoch() / 1ms));
    if (m_backends.at(backend)->highestFencingNumber() > number) {
        number = static_cast<std::uint64_t>(m_time.now().time_since_epoch() / 1ms);
    }
    return number;
}

bool fleet::viewsAgree() const
{
    return m_time.now() >= m_disturbedUntil;
}

} // namespace mustardtrail::node::testing

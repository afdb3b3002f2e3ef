#include "gateway/tests/fleet_simulation.h"

#include <algorithm>

namespace mustardtrail::gateway::testing
{

namespace
{

constexpr std::chrono::milliseconds step{ 1 };
constexpr peer_address firstAddress = 0x0a000001;

} // namespace

fleet_simulation::fleet_simulation(unsigned count,
    unsigned dataCentres,
    unsigned serversPerDataCentre,
    network_conditions network,
    std::uint64_t seed,
    const resend_limits &resend)
    : m_dataCentres(dataCentres)
    , m_serversPerDataCentre(serversPerDataCentre)
    , m_network(network)
    , m_resend(resend)
    , m_random(seed)
    , m_now(std::chrono::seconds(100))
    , m_nodes(count)
{
    for (unsigned instance = 0; instance < count; ++instance) {
        start(instance, m_now);
    }
}

peer_address fleet_simulation::addressOf(unsigned instance)
{
    return firstAddress + instance;
}

data_centre_id fleet_simulation::dataCentreOf(unsigned instance) const
{
    return data_centre_id("dc" + std::to_string(instance % m_dataCentres));
}

server_key fleet_simulation::serverOf(unsigned dataCentre, unsigned index) const
{
    return keyOf(backend_server_id("engine-" + std::to_string(dataCentre) + "-" + std::to_string(index)));
}

void fleet_simulation::start(unsigned instance, time_point resendSlackFrom)
{
    node &started = m_nodes[instance];
    const auto ignoreEvents = [](std::string_view, std::string_view, std::string_view) {};
    fleet_limits limits;
    limits.resend = m_resend;
    limits.resendSlackFrom = resendSlackFrom;
    started.state = std::make_unique<fleet_state>(addressOf(instance), dataCentreOf(instance), limits, ignoreEvents);
    std::vector<peer_address> seeds;
    for (unsigned seed = 0; seed < std::min(m_dataCentres, 3U); ++seed) {
        seeds.push_back(addressOf(seed));
    }
    started.state->peers.addSeeds(seeds);
    for (unsigned dataCentre = 0; dataCentre < m_dataCentres; ++dataCentre) {
        for (unsigned index = 0; index < m_serversPerDataCentre; ++index) {
            listed_server server;
            server.id = backend_server_id("engine-" + std::to_string(dataCentre) + "-" + std::to_string(index));
            server.service = service_id("model");
            server.address = { "10.200." + std::to_string(dataCentre) + "." + std::to_string(index), 80 };
            server.dataCentre = data_centre_id("dc" + std::to_string(dataCentre));
            server.slots = 10;
            started.state->apply(server_listed{ server }, m_now, m_now);
        }
    }
    const report_exchange::identity self{
        instance_id("i" + std::to_string(instance)), dataCentreOf(instance), addressOf(instance), ++m_incarnations
    };
    started.exchange = std::make_unique<report_exchange>(*started.state, self, m_now + std::chrono::milliseconds(m_random.below(300)));
    started.isFrozen = false;
}

bool fleet_simulation::isCutBetween(unsigned from, unsigned to) const
{
    const unsigned left = from % m_dataCentres;
    const unsigned right = to % m_dataCentres;
    return left != right && (m_cut.contains(left) || m_cut.contains(right));
}

std::chrono::microseconds fleet_simulation::jitter()
{
    const auto most = static_cast<std::uint64_t>(m_network.jitter.count());
    return std::chrono::microseconds(most == 0 ? 0 : m_random.below(most));
}

void fleet_simulation::send(unsigned from, const std::vector<outgoing_report> &reports)
{
    for (const outgoing_report &each : reports) {
        const auto bytes = std::make_shared<const std::string>(encodeLoadReport(each.report, m_now));
        for (const peer_address address : each.targets) {
            const unsigned target = address - firstAddress;
            traffic &sent = m_nodes[from].sent;
            ++sent.datagrams;
            sent.bytes += bytes->size();
            m_bytesBetweenDataCentres += from % m_dataCentres != target % m_dataCentres ? bytes->size() : 0;
            if (!isCutBetween(from, target) && m_random.unit() >= m_network.lossShare) {
                m_inFlight.push({ m_now + m_network.delay + jitter(), ++m_sentCount, target, bytes });
            }
        }
    }
}

void fleet_simulation::runFor(std::chrono::milliseconds duration)
{
    const time_point end = m_now + duration;
    while (m_now < end) {
        m_now += step;
        while (!m_inFlight.empty() && m_inFlight.top().arrivesAt <= m_now) {
            const datagram arrived = m_inFlight.top();
            m_inFlight.pop();
            if (m_nodes[arrived.target].isFrozen) {
                continue;
            }
            if (const auto report = decodeLoadReport(*arrived.bytes, m_now)) {
                send(arrived.target, m_nodes[arrived.target].exchange->onReport(*report, m_now).replies);
            }
        }
        for (unsigned instance = 0; instance < m_nodes.size(); ++instance) {
            node &each = m_nodes[instance];
            if (!each.isFrozen && each.exchange->nextDueAt() <= m_now) {
                each.state->expire(m_now);
                send(instance, each.exchange->reportsDue(m_now));
            }
        }
    }
}

void fleet_simulation::freeze(unsigned instance)
{
    m_nodes[instance].isFrozen = true;
}

void fleet_simulation::wake(unsigned instance)
{
    m_nodes[instance].isFrozen = false;
}

void fleet_simulation::restart(unsigned instance)
{
    start(instance, m_now + m_resend.window + second_send_loans::lifetime);
}

void fleet_simulation::restartFirst(unsigned instance)
{
    start(instance, m_now);
}

void fleet_simulation::setCut(unsigned dataCentre, bool isCut)
{
    if (isCut) {
        m_cut.insert(dataCentre);
    } else {
        m_cut.erase(dataCentre);
    }
}

std::uint64_t fleet_simulation::addWork(unsigned instance, server_key server, std::chrono::milliseconds prefillTime)
{
    server_work work;
    work.request = ++m_requests;
    work.server = server;
    work.prefillTime = prefillTime;
    work.memoryTokens = 5'000;
    work.sentAt = m_now;
    work.isLatencySensitive = true;
    m_nodes[instance].state->loads.add(work);
    send(instance, m_nodes[instance].exchange->reportWork(m_now));
    return work.request;
}

void fleet_simulation::addWork(unsigned instance, server_work work)
{
    m_nodes[instance].state->loads.add(work);
}

void fleet_simulation::report(unsigned instance)
{
    send(instance, m_nodes[instance].exchange->reportWork(m_now));
}

void fleet_simulation::stop(unsigned instance)
{
    send(instance, m_nodes[instance].exchange->reportLeaving(m_now));
    freeze(instance);
}

void fleet_simulation::finishWork(unsigned instance, std::uint64_t request)
{
    m_nodes[instance].state->loads.finish(request);
    send(instance, m_nodes[instance].exchange->reportWork(m_now));
}

void fleet_simulation::finishAllWork(unsigned instance)
{
    load_tracker &loads = m_nodes[instance].state->loads;
    while (!loads.ownWork().empty()) {
        loads.finish(loads.ownWork().front().request);
    }
    send(instance, m_nodes[instance].exchange->reportWork(m_now));
}

fleet_state &fleet_simulation::state(unsigned instance)
{
    return *m_nodes[instance].state;
}

time_point fleet_simulation::now() const
{
    return m_now;
}

unsigned fleet_simulation::size() const
{
    return static_cast<unsigned>(m_nodes.size());
}

const fleet_simulation::traffic &fleet_simulation::sentBy(unsigned instance) const
{
    return m_nodes[instance].sent;
}

std::uint64_t fleet_simulation::bytesBetweenDataCentres() const
{
    return m_bytesBetweenDataCentres;
}

void fleet_simulation::resetTraffic()
{
    for (node &each : m_nodes) {
        each.sent = traffic();
    }
    m_bytesBetweenDataCentres = 0;
}

} // namespace mustardtrail::gateway::testing

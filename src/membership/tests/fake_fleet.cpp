#include "tests/fake_fleet.h"

#include <algorithm>

namespace mustardtrail::membership
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

constexpr std::uint64_t headerBytes = 28; // IPv4 and UDP
constexpr microseconds platformDelay{ 3000 };
constexpr microseconds watchPoll{ 5000 };
constexpr std::chrono::seconds wallReadings{ 5 };
constexpr std::chrono::system_clock::time_point wallStart{ std::chrono::hours(24 * 365 * 56) };

endpoint addressOf(int index, std::uint16_t port)
{
    return { joined({ "10.", std::to_string(index / 250), ".0.", std::to_string(index % 250 + 1) }), port };
}

error unreachable()
{
    return { error_code::peer_connect_failed, verdict::not_run, {}, {} };
}

} // namespace

fake_fleet::fake_fleet(const fake_fleet_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_nodes(static_cast<size_t>(settings.nodes))
    , m_starts(static_cast<size_t>(settings.nodes))
{
    platform.set("classes", R"([{"id":"lookup","first_token_target":"300ms","total_target":"5s","repeatable":true}])");
    platform.set("customers", R"([{"id":"hotel-1"}])");
    platform.set("models", R"([{"id":"pay"}])");
    platform.set("instances", "[]");
    platform.set("weight_store", R"({"bytes_per_second":1000000000})");
    platform.set("data_centres", dataCentresValue(settings.dataCentres));
    for (int index = 0; index < settings.dataCentres; ++index) {
        platform.set(joined({ "backend_servers/", dataCentreName(index) }), serversValue(index, settings.serversPerDataCentre));
        for (int server = 0; server < settings.serversPerDataCentre; ++server) {
            const std::string id = serverName(index, server);
            platform.entries[id]
                = { id, listing_kind::backend_server, data_centre_id(dataCentreName(index)), {}, {}, listing_state::live, 1 };
        }
    }
    for (int index = 0; index < settings.nodes; ++index) {
        const data_centre_id dataCentre(dataCentreName(dataCentreOf(index)));
        const std::string id = instanceName(index);
        platform.entries[id]
            = { id, listing_kind::instance, dataCentre, addressOf(index, 8080), addressOf(index, 7000), listing_state::live, 1 };
        m_byHeartbeats[toString(addressOf(index, 7000))] = index;
        node &added = at(index);
        added.settings.self = instance_id(id);
        added.settings.dataCentre = dataCentre;
        added.settings.requests = addressOf(index, 8080);
        added.settings.heartbeats = addressOf(index, 7000);
        added.settings.cluster = "test";
        added.settings.seed = settings.seed;
        added.settings.incarnation = 0;
        if (settings.adjust) {
            settings.adjust(added.settings);
        }
        schedule(milliseconds(m_random.below(200)), [this, index] {
            if (m_starts[static_cast<size_t>(index)] == 0) {
                start(index);
            }
        });
    }
}

int fake_fleet::dataCentreOf(int index) const
{
    return index % m_settings.dataCentres;
}

void fake_fleet::start(int index)
{
    node &started = at(index);
    ++started.settings.incarnation;
    started.core = std::make_unique<view_core>(started.settings);
    started.paused = false;
    started.backlog.clear();
    const std::uint64_t start = ++m_starts[static_cast<size_t>(index)];
    deliver(index, wall_clock_reading{ wallStart + std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()) + started.wallSkew });
    tickLoop(index, start);
}

void fake_fleet::tickLoop(int index, std::uint64_t start)
{
    node &ticking = at(index);
    if (m_starts[static_cast<size_t>(index)] != start || !ticking.core) {
        return;
    }
    if (!ticking.paused) {
        deliver(index, clock_tick{});
        if (m_now.time_since_epoch() % wallReadings < ticking.settings.tickInterval) {
            const auto since = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
            deliver(index, wall_clock_reading{ wallStart + since + ticking.wallSkew });
        }
    }
    const auto wait = std::max<std::chrono::nanoseconds>(ticking.core->nextWake() - m_now, ticking.settings.tickInterval);
    schedule(std::chrono::duration_cast<microseconds>(wait), [this, index, start] {
        tickLoop(index, start);
    });
}

void fake_fleet::schedule(microseconds delay, std::function<void()> work)
{
    m_queue.emplace(m_now + delay, std::move(work));
}

void fake_fleet::run(milliseconds length)
{
    const time_point end = m_now + length;
    while (!m_queue.empty() && m_queue.begin()->first <= end) {
        auto entry = m_queue.extract(m_queue.begin());
        m_now = entry.key();
        entry.mapped()();
    }
    m_now = end;
}

std::optional<milliseconds> fake_fleet::runUntil(const std::function<bool()> &condition, milliseconds longest)
{
    constexpr milliseconds step{ 10 };
    for (milliseconds waited{ 0 }; waited <= longest; waited += step) {
        if (condition()) {
            return waited;
        }
        run(step);
    }
    return std::nullopt;
}

void fake_fleet::deliver(int index, const view_event &event)
{
    node &receiver = at(index);
    if (!receiver.core) {
        return;
    }
    if (receiver.paused) {
        receiver.backlog.push_back(event);
        return;
    }
    if (onEvent) {
        onEvent(index, event);
    }
    const auto actions = handle ? handle(*receiver.core, event, m_now) : receiver.core->handle(event, m_now);
    for (const view_action &action : actions) {
        if (onAction) {
            onAction(index, action);
        }
        perform(index, action);
    }
}

void fake_fleet::deliverLater(int index, microseconds delay, view_event event)
{
    const std::uint64_t start = m_starts[static_cast<size_t>(index)];
    schedule(delay, [this, index, start, event = std::move(event)] {
        if (m_starts[static_cast<size_t>(index)] == start) {
            deliver(index, event);
        }
    });
}

void fake_fleet::perform(int index, const view_action &action)
{
    if (const auto *datagram = std::get_if<send_datagram>(&action)) {
        sendDatagram(index, *datagram);
    } else if (const auto *read = std::get_if<read_config>(&action)) {
        ++platform.configReads[at(index).settings.self.str()];
        answerRead(index, read->afterRevision, m_now + read->wait);
    } else if (std::holds_alternative<read_live_list>(action)) {
        answerList(index);
    } else if (const auto *fetch = std::get_if<fetch_delta>(&action)) {
        answerFetch(index, *fetch);
    } else if (const auto *answer = std::get_if<answer_delta>(&action)) {
        auto found = m_fetches.extract(answer->request);
        found.mapped()(answer->body);
    } else if (const auto *published = std::get_if<publish_view>(&action)) {
        at(index).highestRevision = std::max(at(index).highestRevision, published->view->config->revision);
    } else if (const auto *line = std::get_if<log_event>(&action)) {
        at(index).log.push_back(line->line);
    }
}

microseconds fake_fleet::delay()
{
    return microseconds(500 + m_random.below(static_cast<std::uint64_t>(microseconds(longestDelay).count())));
}

void fake_fleet::sendDatagram(int index, const send_datagram &action)
{
    at(index).bytes += action.bytes.size() + headerBytes;
    ++at(index).datagrams;
    const auto to = m_byHeartbeats.find(toString(action.to));
    const bool lost = m_random.below(100) < static_cast<std::uint64_t>(lossPercent);
    if (to == m_byHeartbeats.end() || lost || (isCut && isCut(index, to->second))) {
        return;
    }
    const int copies = m_random.below(100) < static_cast<std::uint64_t>(duplicatePercent) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        at(to->second).bytes += action.bytes.size() + headerBytes;
        ++at(to->second).datagrams;
        deliverLater(to->second, delay(), datagram_received{ at(index).settings.heartbeats, action.bytes });
    }
}

bool fake_fleet::isPlatformCut(int index) const
{
    return platformIsCut && platformIsCut(index);
}

// A watch is answered at a change or when its wait is over.
void fake_fleet::answerRead(int index, std::int64_t after, time_point until)
{
    using mode = fake_platform::mode;
    if (isPlatformCut(index) || platform.configMode == mode::down) {
        deliverLater(index, platformDelay, config_read_result{ tl::unexpected(unreachable()) });
        return;
    }
    const bool changed = platform.configMode == mode::up && platform.revision() > after;
    if (!changed && m_now < until) {
        schedule(watchPoll, [this, index, after, until] {
            answerRead(index, after, until);
        });
        return;
    }
    deliverLater(index, platformDelay, config_read_result{ platform.reply(after) });
}

void fake_fleet::answerList(int index)
{
    if (isPlatformCut(index) || platform.listMode == fake_platform::mode::down) {
        deliverLater(index, platformDelay, live_list_result{ tl::unexpected(unreachable()) });
        return;
    }
    deliverLater(index, platformDelay, live_list_result{ platform.list() });
}

// Views answer at the address of their datagrams.
void fake_fleet::answerFetch(int index, const fetch_delta &action)
{
    const auto target = m_byHeartbeats.find(toString(action.view));
    const int peer = target == m_byHeartbeats.end() ? index : target->second;
    if (target == m_byHeartbeats.end() || (isCut && (isCut(index, peer) || isCut(peer, index)))) {
        deliverLater(index, milliseconds(action.timeout), delta_received{ action.peer, tl::unexpected(unreachable()) });
        return;
    }
    const std::uint64_t request = ++m_nextFetch;
    m_fetches[request] = [this, index, id = action.peer](std::string body) {
        deliverLater(index, delay(), delta_received{ id, std::move(body) });
    };
    deliverLater(peer, delay(), delta_requested{ request, action.afterRevision });
}

void fake_fleet::pause(int index)
{
    at(index).paused = true;
}

void fake_fleet::wake(int index)
{
    node &woken = at(index);
    woken.paused = false;
    for (const view_event &event : std::exchange(woken.backlog, {})) {
        deliver(index, event);
    }
}

void fake_fleet::kill(int index)
{
    at(index).core.reset();
    ++m_starts[static_cast<size_t>(index)];
}

void fake_fleet::restart(int index)
{
    kill(index);
    start(index);
}

void fake_fleet::publish(const std::string &key, const std::string &value)
{
    platform.set(key, value);
}

time_point fake_fleet::now() const
{
    return m_now;
}

int fake_fleet::size() const
{
    return static_cast<int>(m_nodes.size());
}

fake_fleet::node &fake_fleet::at(int index)
{
    return m_nodes[static_cast<size_t>(index)];
}

bool fake_fleet::isUp(int index) const
{
    const node &asked = m_nodes[static_cast<size_t>(index)];
    return asked.core != nullptr && !asked.paused;
}

const fleet_view *fake_fleet::view(int index) const
{
    const node &asked = m_nodes[static_cast<size_t>(index)];
    return asked.core == nullptr ? nullptr : asked.core->view().get();
}

bool fake_fleet::isConfirmed(int index) const
{
    const fleet_view *seen = view(index);
    return seen != nullptr && seen->isConfirmed(m_now);
}

peer_state fake_fleet::stateAt(int index, int subject) const
{
    const fleet_view *seen = view(index);
    const auto found = seen->peers.find(instance_id(instanceName(subject)));
    return found == seen->peers.end() ? peer_state::dead : found->second.state;
}

} // namespace mustardtrail::membership

#include "membership/internal/view_logic.h"

#include "base/hash.h"
#include "base/log_line.h"

#include <algorithm>

namespace mustardtrail::membership
{

namespace
{

member_news selfOf(const view_settings &settings)
{
    return { { settings.self, settings.dataCentre, settings.requests, settings.heartbeats, peer_state::alive, settings.incarnation }, 0 };
}

std::chrono::milliseconds inMilliseconds(std::chrono::nanoseconds value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

} // namespace

view_logic::view_logic(const view_settings &settings)
    : m_settings(settings)
    , m_cluster(static_cast<std::uint32_t>(hash64(settings.cluster)))
    , m_random(hash64(settings.self.str(), settings.seed))
    , m_members(selfOf(settings), settings.detector)
    , m_detector(m_members, m_settings.detector, m_random)
    , m_config(m_settings, m_random)
    , m_list(m_settings, m_random)
    , m_confirmation(settings.confirmation)
    , m_ownership(settings.self)
{
    m_detector.onAck = [this](const instance_id &peer, time_point sentAt, time_point now) {
        m_confirmation.acked(peer, sentAt, now);
    };
}

std::vector<view_action> view_logic::handle(const view_event &event, time_point now)
{
    if (!m_startedAt) {
        m_startedAt = now;
        m_nextTick = now;
    }
    checkPause(now);
    std::visit(
        [this, now](const auto &typed) {
            on(typed, now);
        },
        event);
    confirm(now);
    publish(now);
    logMembers();
    return std::exchange(m_out, {});
}

// Every event counts as passing time: what lay in the sockets while the process slept is read before any timer runs.
void view_logic::checkPause(time_point now)
{
    const auto pause = m_confirmation.tick(now);
    if (!pause) {
        return;
    }
    log(log_line("paused").add("for", inMilliseconds(*pause)).str());
    m_detector.restartTimeouts(now);
    m_config.refresh(now);
    m_list.refresh(now);
    if (*pause >= viewLease) {
        m_ownership.interrupt();
        ++m_claimChanges;
    }
    send(m_detector.probeNow(m_settings.detector.pushFanout, now), now);
}

void view_logic::on(const clock_tick &, time_point now)
{
    if (now < m_nextTick) {
        return;
    }
    m_nextTick = now + m_settings.tickInterval;
    send(m_detector.tick(now), now);
    readServices(now);
}

void view_logic::readServices(time_point now)
{
    countMembers();
    add(m_list.tick(m_counts.listRank, now));
    const bool knowsPeers = m_list.list().age(now).has_value() || now - *m_startedAt >= m_settings.firstListWait;
    if (knowsPeers) {
        add(m_config.tick(m_counts.configRank, now));
    }
}

void view_logic::on(const wall_clock_reading &event, time_point)
{
    m_clock.wallClock(event.at);
}

void view_logic::on(const datagram_received &event, time_point now)
{
    const auto message = decodePeerMessage(event.bytes);
    const bool foreign = message && (message->cluster != m_cluster || message->sender.member.id == m_settings.self);
    if (!message || foreign) {
        ++m_droppedDatagrams;
        return;
    }
    takeMessage(*message, event.from, now);
}

void view_logic::takeMessage(const peer_message &message, const endpoint &from, time_point now)
{
    m_clock.heard(message.logicalTime);
    m_members.heard(message.sender, now);
    for (const member_news &news : message.members) {
        m_members.apply(news, message.sender, now);
    }
    for (const listing &news : message.listings) {
        m_clock.heard(news.version);
        if (m_list.hearListing(news) && news.kind == listing_kind::instance) {
            m_members.setListState(instance_id(news.id), news.state);
        }
    }
    if (message.listAge) {
        m_list.hearAge(*message.listAge, now);
    }
    if (const member *known = m_members.find(message.sender.member.id); known != nullptr) {
        m_config.hint(known->news.member, message.configRevision, message.configAge, now);
    }
    send(m_detector.received(message, from, now), now);
    if (m_members.takeDeclaredDead()) {
        log(log_line("declared_dead_by_peer").add("peer", message.sender.member.id.str()).str());
        m_ownership.interrupt();
        ++m_claimChanges;
        send(m_detector.probeNow(m_settings.detector.pushFanout, now), now);
    }
    if (!message.ownerLoads.empty()) {
        m_out.emplace_back(load_summaries_received{ message.sender.member.id, message.ownerLoads });
    }
    readServices(now);
}

void view_logic::on(const config_read_result &event, time_point now)
{
    add(m_config.readFromService(event.body, now));
}

void view_logic::on(const live_list_result &event, time_point now)
{
    bool accepted = false;
    const std::uint64_t before = m_list.book().changes();
    add(m_list.received(event.body, m_clock, accepted, now));
    if (!accepted) {
        return;
    }
    m_members.list(m_list.list().entries(), now);
    for (const live_list_entry &entry : m_list.list().entries()) {
        if (entry.kind == listing_kind::instance) {
            m_members.setListState(instance_id(entry.id), m_list.book().instanceState(entry.id));
        }
    }
    if (m_list.book().changes() != before) {
        send(m_detector.probeNow(m_settings.detector.pushFanout, now), now);
    }
}

void view_logic::on(const delta_received &event, time_point now)
{
    add(m_config.receivedDelta(event.peer, event.body, now));
}

void view_logic::on(const delta_requested &event, time_point now)
{
    m_out.emplace_back(answer_delta{ event.request, m_config.delta(event.afterRevision, now) });
}

void view_logic::on(const load_summaries_set &event, time_point)
{
    m_loads = event.summaries;
}

void view_logic::on(const fencing_seen &event, time_point)
{
    m_ownership.raiseAbove(event.backend, event.highest, m_clock);
    ++m_claimChanges;
}

void view_logic::on(const begin_stop &, time_point now)
{
    if (m_members.self().member.state == peer_state::leaving) {
        return;
    }
    log(log_line("leaving").str());
    m_members.leave();
    ++m_claimChanges;
    send(m_detector.probeNow(m_settings.detector.pushFanout, now), now);
}

void view_logic::add(std::vector<view_action> actions)
{
    std::move(actions.begin(), actions.end(), std::back_inserter(m_out));
}

void view_logic::log(std::string line)
{
    m_out.emplace_back(log_event{ std::move(line) });
}

time_point view_logic::nextWake() const
{
    return m_nextTick;
}

std::shared_ptr<const fleet_view> view_logic::view() const
{
    return m_view;
}

} // namespace mustardtrail::membership

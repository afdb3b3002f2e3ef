#include "membership/internal/view_logic.h"

#include "base/hash.h"
#include "base/log_line.h"
#include "membership/config_reader_choice.h"

#include <algorithm>

namespace mustardtrail::membership
{

namespace
{

constexpr int listingsPerDatagram = 8;

member_news selfOf(const view_settings &settings)
{
    return { { settings.self, settings.dataCentre, settings.requests, settings.heartbeats, peer_state::alive, settings.incarnation }, 0 };
}

// What is left out was counted as passed on; the other nodes still spread it.
std::string encodeWithinBound(peer_message &message)
{
    std::string bytes = encode(message);
    while (bytes.size() > maxDatagramBytes && !(message.ownerLoads.empty() && message.listings.empty() && message.members.empty())) {
        if (!message.ownerLoads.empty()) {
            message.ownerLoads.pop_back();
        } else if (!message.listings.empty()) {
            message.listings.pop_back();
        } else {
            message.members.pop_back();
        }
        bytes = encode(message);
    }
    return bytes;
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

bool view_logic::isUpToDate() const
{
    return m_config.isCaughtUp() && m_list.hasAnswerSince(m_confirmation.refreshingSince());
}

void view_logic::confirm(time_point now)
{
    countMembers();
    const bool wasIsolated = m_confirmation.isIsolated();
    const bool wasRefreshing = m_confirmation.isRefreshing();
    const bool reunited = m_confirmation.update(m_counts.listedPeers, m_counts.answering, isUpToDate(), now);
    if (wasIsolated != m_confirmation.isIsolated()) {
        log(log_line(wasIsolated ? "isolation_over" : "isolated").str());
        ++m_claimChanges;
    }
    if (reunited) {
        m_ownership.interrupt();
    }
    if (wasRefreshing && !m_confirmation.isRefreshing()) {
        ++m_claimChanges;
    }
    if (m_config.store().revision() > m_pushedRevision) {
        m_pushedRevision = m_config.store().revision();
        send(m_detector.probeNow(m_settings.detector.pushFanout, now), now);
    }
}

// Changes of members come in bursts when a data centre is cut off; they are taken together.
bool view_logic::isStale(time_point now) const
{
    const bool urgent
        = m_builtRevision != m_config.store().revision() || m_builtListings != m_list.book().changes() || m_builtClaims != m_claimChanges;
    return urgent || (m_builtMembers != m_members.changes() && now - m_rebuiltAt >= m_settings.tickInterval);
}

void view_logic::publish(time_point now)
{
    if (m_config.store().revision() == 0) {
        return;
    }
    const time_point confirmedAt = m_confirmation.confirmedAt();
    const bool renewed = m_view == nullptr || (confirmedAt > m_view->confirmedAt && now - m_publishedAt >= m_settings.publishInterval);
    if (isStale(now)) {
        rebuild(now);
    } else if (renewed) {
        auto next = std::make_shared<fleet_view>(*m_view);
        next->confirmedAt = confirmedAt;
        m_view = std::move(next);
    } else {
        return;
    }
    m_publishedAt = now;
    m_out.emplace_back(publish_view{ m_view });
}

void view_logic::rebuild(time_point now)
{
    auto next = std::make_shared<fleet_view>(
        buildView({ m_members, m_list.book(), m_config.store().inForce(), m_settings.drains }, m_view.get(), m_builtCandidates));
    m_rebuiltAt = now;
    // During a refresh no claim is made: its number could be below that of an owner not heard of yet.
    if (!m_confirmation.isRefreshing()) {
        m_ownership.update(ownedBySelf(*next), m_clock, now);
    }
    addClaims(*next, m_ownership);
    next->confirmedAt = m_confirmation.confirmedAt();
    next->isolated = m_confirmation.isIsolated();
    m_view = std::move(next);
    m_builtRevision = m_config.store().revision();
    m_builtMembers = m_members.changes();
    m_builtListings = m_list.book().changes();
    m_builtClaims = m_claimChanges;
}

void view_logic::send(std::vector<outgoing_message> messages, time_point now)
{
    for (outgoing_message &out : messages) {
        complete(out, now);
        m_out.emplace_back(send_datagram{ out.to, encodeWithinBound(out.message) });
    }
}

// Only a probe tells the sender's addresses: whoever acks was told them before, or they are in the list.
void view_logic::complete(outgoing_message &out, time_point now)
{
    peer_message &message = out.message;
    message.cluster = m_cluster;
    if (message.kind != peer_message_kind::probe) {
        message.sender.member.requests = {};
        message.sender.member.heartbeats = {};
    }
    message.configRevision = m_config.store().revision();
    message.configAge = m_config.age(now);
    message.listAge = m_list.duty().age(now);
    message.logicalTime = m_clock.current();
    message.ownerLoads = m_loads;
    message.members = m_members.takeNews(out.receiver, m_settings.detector.newsPerDatagram);
    message.listings = m_list.takeNews(listingsPerDatagram, newsRepeats(m_settings.detector.repeatFactor, m_members.members().size() + 1));
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

std::vector<instance_id> view_logic::localCandidates() const
{
    std::vector<instance_id> candidates{ m_settings.self };
    for (const auto &[id, known] : m_members.members()) {
        if (known.state() == peer_state::alive && known.news.member.dataCentre == m_settings.dataCentre) {
            candidates.push_back(id);
        }
    }
    return candidates;
}

// Counted anew only after a change: at 910 members this is the dearest step of an event.
void view_logic::countMembers()
{
    if (m_countedAt == m_members.changes()) {
        return;
    }
    m_countedAt = m_members.changes();
    m_counts = {};
    for (const auto &[id, known] : m_members.members()) {
        m_counts.listedPeers += known.listed && !known.listLeaving ? 1 : 0;
        m_counts.answering += known.state() == peer_state::alive ? 1 : 0;
    }
    const std::vector<instance_id> candidates = localCandidates();
    m_counts.configRank = readerRank(configService, m_settings.self, candidates);
    m_counts.listRank = readerRank(listService, m_settings.self, candidates);
}

} // namespace mustardtrail::membership

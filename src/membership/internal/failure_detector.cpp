#include "membership/internal/failure_detector.h"

#include <set>

namespace mustardtrail::membership
{

failure_detector::failure_detector(member_table &members, const detector_settings &settings, random_source &random)
    : m_members(members)
    , m_settings(settings)
    , m_random(random)
{
}

std::vector<outgoing_message> failure_detector::tick(time_point now)
{
    std::vector<outgoing_message> out;
    checkOpenProbes(now, out);
    m_members.expire(now);
    if (now < m_nextProbe) {
        return out;
    }
    m_nextProbe = now + m_settings.probeInterval;
    ++m_probes;
    const bool probesDead = m_probes % static_cast<std::uint64_t>(m_settings.deadEvery) == 0;
    for (const instance_id &target : { chooseTarget(), chooseSuspect(), probesDead ? chooseDead() : instance_id() }) {
        if (!target.empty()) {
            out.push_back(probe(target, now));
        }
    }
    return out;
}

instance_id failure_detector::chooseTarget()
{
    const data_centre_id &own = m_members.self().member.dataCentre;
    const auto isLocal = [&own](const member &known) {
        return known.isReachable() && known.news.member.dataCentre == own;
    };
    const bool remoteFirst = m_probes % static_cast<std::uint64_t>(m_settings.remoteEvery) == 0;
    if (remoteFirst) {
        const instance_id remote = chooseRemote();
        return remote.empty() ? m_localOrder.next(m_members.members(), m_random, isLocal) : remote;
    }
    const instance_id local = m_localOrder.next(m_members.members(), m_random, isLocal);
    return local.empty() ? chooseRemote() : local;
}

// The one that raised a suspicion keeps telling the suspect, so that it can contradict before the time-out.
instance_id failure_detector::chooseSuspect()
{
    return m_suspectOrder.next(m_members.members(), m_random, [](const member &known) {
        return known.suspectedHere;
    });
}

instance_id failure_detector::chooseDead()
{
    return m_deadOrder.next(m_members.members(), m_random, [](const member &known) {
        return known.state() == peer_state::dead;
    });
}

outgoing_message failure_detector::probe(const instance_id &target, time_point now)
{
    const member *known = m_members.find(target);
    outgoing_message out{ known->news.member.heartbeats, target, {} };
    out.message.kind = peer_message_kind::probe;
    out.message.sequence = ++m_sequence;
    out.message.sender = m_members.self();
    m_open[out.message.sequence] = { target, now, false, {}, 0 };
    return out;
}

instance_id failure_detector::chooseRemote()
{
    const data_centre_id &own = m_members.self().member.dataCentre;
    return m_remoteOrder.next(m_members.members(), m_random, [&own](const member &known) {
        return known.isReachable() && known.news.member.dataCentre != own;
    });
}

// One target is in another data centre where there is one. In a small fleet the order comes round to a target that
// was drawn already; a few more draws then find another.
std::vector<outgoing_message> failure_detector::probeNow(int count, time_point now)
{
    std::set<instance_id> targets;
    if (const instance_id remote = chooseRemote(); !remote.empty()) {
        targets.insert(remote);
    }
    for (int draw = 0; draw < 2 * count && static_cast<int>(targets.size()) < count; ++draw) {
        if (const instance_id target = chooseTarget(); !target.empty()) {
            targets.insert(target);
        }
    }
    std::vector<outgoing_message> out;
    for (const instance_id &target : targets) {
        out.push_back(probe(target, now));
    }
    return out;
}

void failure_detector::checkOpenProbes(time_point now, std::vector<outgoing_message> &out)
{
    for (auto entry = m_open.begin(); entry != m_open.end();) {
        open_probe &open = entry->second;
        const auto waited = now - open.sentAt;
        if (!open.helpersAsked && waited >= m_settings.directTimeout && open.relayTo.address.empty() && m_settings.indirectProbes) {
            open.helpersAsked = true;
            askHelpers(entry->first, open, out);
        }
        if (waited < m_settings.indirectTimeout) {
            ++entry;
            continue;
        }
        if (open.relayTo.address.empty()) {
            m_members.unanswered(open.target, open.sentAt, now);
        }
        entry = m_open.erase(entry);
    }
}

// Helpers are drawn from all data centres: a cut between two of them is then not taken for the death of a member
// that a third one reaches.
void failure_detector::askHelpers(std::uint32_t sequence, const open_probe &probe, std::vector<outgoing_message> &out)
{
    const member *target = m_members.find(probe.target);
    if (target == nullptr || target->state() == peer_state::dead) {
        return;
    }
    const auto isHelper = [&probe](const member &known) {
        return known.state() == peer_state::alive && known.news.member.id != probe.target;
    };
    instance_id last;
    for (int asked = 0; asked < m_settings.helpers; ++asked) {
        const instance_id helper = m_helperOrder.next(m_members.members(), m_random, isHelper);
        if (helper.empty() || helper == last) {
            return;
        }
        last = helper;
        outgoing_message request{ m_members.find(helper)->news.member.heartbeats, helper, {} };
        request.message.kind = peer_message_kind::indirect_probe;
        request.message.sequence = sequence;
        request.message.sender = m_members.self();
        request.message.subject = probe.target;
        request.message.subjectAddress = target->news.member.heartbeats;
        out.push_back(std::move(request));
    }
}

std::vector<outgoing_message> failure_detector::received(const peer_message &message, const endpoint &from, time_point now)
{
    std::vector<outgoing_message> out;
    switch (message.kind) {
    case peer_message_kind::probe:
        out.push_back(reply(message, from));
        break;
    case peer_message_kind::indirect_probe:
        if (const member *subject = m_members.find(message.subject); subject != nullptr) {
            outgoing_message relayed = probe(message.subject, now);
            m_open[relayed.message.sequence].relayTo = from;
            m_open[relayed.message.sequence].relaySequence = message.sequence;
            out.push_back(std::move(relayed));
        }
        break;
    case peer_message_kind::ack:
        receivedAck(message, now, out);
        break;
    }
    return out;
}

void failure_detector::receivedAck(const peer_message &message, time_point now, std::vector<outgoing_message> &out)
{
    const auto found = m_open.find(message.sequence);
    if (found == m_open.end()) {
        return;
    }
    const open_probe open = found->second;
    const bool passedOn = !message.subject.empty() && message.subject == open.target;
    if (!passedOn && message.sender.member.id != open.target) {
        return;
    }
    m_open.erase(found);
    if (passedOn) {
        m_members.heardIndirectly(open.target, now);
    }
    if (!open.relayTo.address.empty()) {
        out.push_back(relayedAck(open));
        return;
    }
    if (onAck) {
        onAck(message.sender.member.id, open.sentAt, now);
    }
}

outgoing_message failure_detector::reply(const peer_message &message, const endpoint &from) const
{
    outgoing_message out{ from, message.sender.member.id, {} };
    out.message.kind = peer_message_kind::ack;
    out.message.sequence = message.sequence;
    out.message.sender = m_members.self();
    return out;
}

outgoing_message failure_detector::relayedAck(const open_probe &probe) const
{
    outgoing_message out{ probe.relayTo, {}, {} };
    out.message.kind = peer_message_kind::ack;
    out.message.sequence = probe.relaySequence;
    out.message.sender = m_members.self();
    out.message.subject = probe.target;
    return out;
}

void failure_detector::restartTimeouts(time_point now)
{
    m_open.clear();
    m_nextProbe = now;
    m_members.restartTimeouts(now);
}

} // namespace mustardtrail::membership

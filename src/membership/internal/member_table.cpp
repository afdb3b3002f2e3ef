#include "membership/internal/member_table.h"

#include <algorithm>

namespace mustardtrail::membership
{

namespace
{

constexpr std::chrono::minutes graveKeptFor{ 10 };

bool isFailure(peer_state state)
{
    return state == peer_state::suspect || state == peer_state::dead;
}

} // namespace

member_table::member_table(member_news self, const detector_settings &settings)
    : m_settings(settings)
    , m_self(std::move(self))
{
    m_news.put(m_self.member.id.str(), m_self);
}

const std::map<instance_id, member> &member_table::members() const
{
    return m_members;
}

const member *member_table::find(const instance_id &id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

const member_news &member_table::self() const
{
    return m_self;
}

std::uint64_t member_table::changes() const
{
    return m_changes;
}

// News of a failure counts only from a node that reaches the member as this node does, or better: one of the
// member's own data centre, or one of this node's data centre. Otherwise two data centres that were cut off from
// each other would bury each other's members when the cut heals.
bool member_table::accepts(const member_news &news, const member_news &sender) const
{
    if (!isFailure(news.member.state) || sender.member.dataCentre == news.member.dataCentre) {
        return true;
    }
    return sender.member.dataCentre == m_self.member.dataCentre && news.member.dataCentre != m_self.member.dataCentre;
}

void member_table::apply(const member_news &news, const member_news &sender, time_point now)
{
    if (news.member.id == m_self.member.id) {
        applyToSelf(news);
        return;
    }
    if (!accepts(news, sender)) {
        return;
    }
    const auto found = m_members.find(news.member.id);
    if (found == m_members.end()) {
        insert(news, now);
        return;
    }
    member &known = found->second;
    if (!isNewer(news, known.news)) {
        return;
    }
    const bool isFirstContact = known.news.member.incarnation == 0 && known.state() == peer_state::alive;
    adoptEndpoints(known.news.member, news.member);
    known.news.member.incarnation = news.member.incarnation;
    known.news.refutation = news.refutation;
    if (isFirstContact && news.member.state == peer_state::alive) {
        // Everyone has it from the list: passing it on would fill the datagrams of a whole fleet that starts.
        ++m_changes;
        return;
    }
    setState(known, news.member.state, now);
}

// A failure told at the own incarnation is contradicted with a higher refutation; one told at an older incarnation
// is contradicted by repeating the own state.
void member_table::applyToSelf(const member_news &news)
{
    if (!isFailure(news.member.state) || news.member.incarnation > m_self.member.incarnation || !m_settings.refutation) {
        return;
    }
    const bool current = news.member.incarnation == m_self.member.incarnation && news.refutation >= m_self.refutation;
    if (current) {
        m_self.refutation = news.refutation + 1;
        m_declaredDead = m_declaredDead || news.member.state == peer_state::dead;
    }
    m_news.put(m_self.member.id.str(), m_self);
}

bool member_table::isBuried(const member_news &news) const
{
    const auto found = m_graves.find(news.member.id);
    return found != m_graves.end()
        && std::tuple(news.member.incarnation, news.refutation) <= std::tuple(found->second.incarnation, found->second.refutation);
}

void member_table::insert(const member_news &news, time_point now)
{
    if (news.member.state == peer_state::dead || news.member.heartbeats.address.empty() || isBuried(news)) {
        return;
    }
    m_graves.erase(news.member.id);
    member &added = m_members[news.member.id];
    added.news = news;
    setState(added, news.member.state, now);
}

void member_table::setState(member &subject, peer_state state, time_point now)
{
    subject.news.member.state = state;
    subject.stateSince = now;
    subject.leavingLostAt.reset();
    subject.suspectedHere = false;
    m_mayExpire = m_mayExpire || state != peer_state::alive;
    m_news.put(subject.news.member.id.str(), subject.news);
    ++m_changes;
}

void member_table::heard(const member_news &sender, time_point now)
{
    restoreDataCentre(sender.member.dataCentre, now);
    apply(sender, sender, now);
    heardIndirectly(sender.member.id, now);
}

void member_table::heardIndirectly(const instance_id &id, time_point now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end()) {
        return;
    }
    found->second.lastHeard = now;
    found->second.leavingLostAt.reset();
}

// When nobody of a data centre had answered and one member does again, the link was at fault and not the members:
// those that this node gave up meanwhile count as alive until probes say otherwise.
void member_table::restoreDataCentre(const data_centre_id &dataCentre, time_point now)
{
    std::optional<time_point> last;
    for (const auto &[id, known] : m_members) {
        if (known.news.member.dataCentre != dataCentre) {
            continue;
        }
        if (known.state() != peer_state::dead) {
            return;
        }
        last = std::max(last, known.lastHeard);
    }
    for (auto &[id, known] : m_members) {
        const bool lostInCut = known.state() == peer_state::dead && known.listed && (!last || known.stateSince > *last);
        if (known.news.member.dataCentre == dataCentre && lostInCut) {
            known.news.member.state = peer_state::alive;
            known.stateSince = now;
            m_news.drop(id.str());
            ++m_changes;
        }
    }
}

void member_table::unanswered(const instance_id &id, time_point sentAt, time_point now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end() || (found->second.lastHeard && *found->second.lastHeard > sentAt)) {
        return;
    }
    if (found->second.state() == peer_state::alive) {
        setState(found->second, peer_state::suspect, now);
        found->second.suspectedHere = true;
    } else if (found->second.state() == peer_state::leaving && !found->second.leavingLostAt) {
        found->second.leavingLostAt = now;
    }
}

void member_table::expire(time_point now)
{
    if (!m_mayExpire) {
        return;
    }
    m_mayExpire = false;
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        member &known = entry->second;
        m_mayExpire = m_mayExpire || known.state() != peer_state::alive;
        const bool suspectOver = known.state() == peer_state::suspect && now - known.stateSince >= m_settings.suspicionTimeout;
        const bool leaverGone = known.leavingLostAt && now - *known.leavingLostAt >= m_settings.suspicionTimeout;
        if (suspectOver || leaverGone) {
            setState(known, peer_state::dead, now);
        }
        const bool forgotten = known.state() == peer_state::dead && !known.listed && now - known.stateSince >= m_settings.forgetAfter;
        if (forgotten) {
            bury(known, now);
            entry = m_members.erase(entry);
            continue;
        }
        ++entry;
    }
    std::erase_if(m_graves, [now](const auto &entry) {
        return now - entry.second.at > graveKeptFor;
    });
}

void member_table::bury(const member &subject, time_point now)
{
    m_graves[subject.news.member.id] = { subject.news.member.incarnation, subject.news.refutation, now };
    ++m_changes;
}

void member_table::restartTimeouts(time_point now)
{
    for (auto &[id, known] : m_members) {
        if (known.state() == peer_state::suspect) {
            known.stateSince = now;
        }
        if (known.leavingLostAt) {
            known.leavingLostAt = now;
        }
    }
}

void member_table::leave()
{
    if (m_self.member.state == peer_state::leaving) {
        return;
    }
    m_self.member.state = peer_state::leaving;
    m_news.put(m_self.member.id.str(), m_self);
    ++m_changes;
}

bool member_table::isSelfLeaving() const
{
    return m_selfListLeaving || m_self.member.state == peer_state::leaving;
}

bool member_table::takeDeclaredDead()
{
    return std::exchange(m_declaredDead, false);
}

// News about the receiver itself goes first: only the receiver can contradict it. A node that hears nobody has no
// sound opinion on who failed and would bury, with its first datagrams after a cut, those who are well.
std::vector<member_news> member_table::takeNews(const instance_id &receiver, int count, bool passesFailures)
{
    std::vector<member_news> news;
    const member *known = find(receiver);
    const bool hasDirect = known != nullptr && isFailure(known->state());
    if (hasDirect) {
        news.push_back(known->news);
    }
    const int repeats = newsRepeats(m_settings.repeatFactor, m_members.size() + 1);
    for (member_news &item : m_news.take(count - static_cast<int>(news.size()), repeats)) {
        const bool isDirect = hasDirect && item.member.id == receiver;
        if (!isDirect && (passesFailures || !isFailure(item.member.state))) {
            news.push_back(std::move(item));
        }
    }
    return news;
}

} // namespace mustardtrail::membership

#include "membership/internal/listing_book.h"

namespace mustardtrail::membership
{

namespace
{

std::string subjectOf(const listing &news)
{
    return (news.kind == listing_kind::instance ? "i:" : "b:") + news.id;
}

} // namespace

void listing_book::note(const key &subject, listing_state state, logical_clock &clock)
{
    const auto known = m_changed.find(subject);
    if (known != m_changed.end() && known->second.state == state) {
        return;
    }
    const listing news{ subject.second, subject.first, state, clock.next() };
    m_changed[subject] = news;
    m_news.put(subjectOf(news), news);
}

void listing_book::read(const std::vector<live_list_entry> &entries, logical_clock &clock)
{
    std::map<key, listing_state> listed;
    for (const live_list_entry &entry : entries) {
        listed.emplace(key(entry.kind, entry.id), entry.state);
        m_listsBackends = m_listsBackends || entry.kind == listing_kind::backend_server;
    }
    if (listed == m_listed) {
        return;
    }
    ++m_changes;
    std::swap(listed, m_listed);
    if (!std::exchange(m_hasRead, true)) {
        return;
    }
    for (const auto &[subject, state] : m_listed) {
        const auto before = listed.find(subject);
        if (before == listed.end() || before->second != state) {
            note(subject, state, clock);
        }
    }
    for (const auto &[subject, state] : listed) {
        if (!m_listed.contains(subject)) {
            note(subject, listing_state::absent, clock);
        }
    }
}

bool listing_book::heard(const listing &news)
{
    listing &known = m_changed[key(news.kind, news.id)];
    if (news.version <= known.version) {
        return false;
    }
    known = news;
    m_news.put(subjectOf(news), news);
    ++m_changes;
    return true;
}

listing_state listing_book::backendState(const std::string &id) const
{
    const key subject(listing_kind::backend_server, id);
    const auto changed = m_changed.find(subject);
    if (changed != m_changed.end()) {
        return changed->second.state;
    }
    const auto listed = m_listed.find(subject);
    if (listed != m_listed.end()) {
        return listed->second;
    }
    return m_listsBackends ? listing_state::absent : listing_state::live;
}

listing_state listing_book::instanceState(const std::string &id) const
{
    const key subject(listing_kind::instance, id);
    const auto changed = m_changed.find(subject);
    if (changed != m_changed.end()) {
        return changed->second.state;
    }
    const auto listed = m_listed.find(subject);
    return listed == m_listed.end() ? listing_state::absent : listed->second;
}

std::vector<listing> listing_book::takeNews(int count, int repeats)
{
    return m_news.take(count, repeats);
}

std::uint64_t listing_book::changes() const
{
    return m_changes;
}

} // namespace mustardtrail::membership

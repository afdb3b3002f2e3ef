#include "membership/internal/member_table.h"

namespace mustardtrail::membership
{

// The list's incarnations are the platform's own count and are not compared with those that peers tell. A member
// that only the list knows starts at incarnation 0, which any datagram of it replaces.
void member_table::list(const std::vector<live_list_entry> &entries, time_point now)
{
    const std::set<instance_id> before = listedIds();
    for (auto &[id, known] : m_members) {
        known.listed = false;
    }
    for (const live_list_entry &entry : entries) {
        const instance_id id(entry.id);
        if (entry.kind != listing_kind::instance || id == m_self.member.id) {
            continue;
        }
        const bool isNew = !m_members.contains(id);
        member &known = m_members[id];
        known.listed = true;
        if (isNew) {
            known.news.member = { id, entry.dataCentre, entry.requests, entry.heartbeats, peer_state::alive, 0 };
            known.stateSince = now;
            ++m_changes;
        }
        if (known.news.member.heartbeats != entry.heartbeats && known.state() == peer_state::dead) {
            adoptEndpoints(known.news.member, { id, entry.dataCentre, entry.requests, entry.heartbeats, peer_state::alive, 0 });
        }
    }
    m_changes += before == listedIds() ? 0 : 1;
}

std::set<instance_id> member_table::listedIds() const
{
    std::set<instance_id> ids;
    for (const auto &[id, known] : m_members) {
        if (known.listed) {
            ids.insert(ids.end(), id);
        }
    }
    return ids;
}

void member_table::setListState(const instance_id &id, listing_state state)
{
    const auto found = m_members.find(id);
    if (found == m_members.end() && id != m_self.member.id) {
        return;
    }
    bool &listLeaving = found == m_members.end() ? m_selfListLeaving : found->second.listLeaving;
    const bool leaving = state == listing_state::leaving;
    if (listLeaving != leaving) {
        listLeaving = leaving;
        ++m_changes;
    }
}

} // namespace mustardtrail::membership

#include "membership/config_reader_choice.h"
#include "membership/internal/view_logic.h"

namespace mustardtrail::membership
{

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

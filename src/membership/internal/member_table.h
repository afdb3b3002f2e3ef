#pragma once

#include "membership/detector_settings.h"
#include "membership/internal/member.h"
#include "membership/internal/news_queue.h"
#include "membership/live_list_entry.h"

#include <map>
#include <set>
#include <vector>

namespace mustardtrail::membership
{

/// Members by id with the rules that say which news replaces which.
class member_table
{
public:
    member_table(member_news self, const detector_settings &settings);

    const std::map<instance_id, member> &members() const;
    const member *find(const instance_id &id) const;
    const member_news &self() const;
    std::uint64_t changes() const; ///< Grows whenever a member or the node's own state changes.

    /// Takes in what `sender` says about a member.
    void apply(const member_news &news, const member_news &sender, time_point now);
    /// A datagram of this member, or an ack passed on for it, has arrived.
    void heard(const member_news &sender, time_point now);
    void heardIndirectly(const instance_id &id, time_point now);
    /// The member did not answer a probe sent at `sentAt`, directly or through others.
    void unanswered(const instance_id &id, time_point sentAt, time_point now);
    /// Declares suspects dead and forgets the dead after their time-outs.
    void expire(time_point now);
    /// After a pause of this process: silence of others proves nothing, their time-outs start again.
    void restartTimeouts(time_point now);

    void list(const std::vector<live_list_entry> &entries, time_point now);
    void setListState(const instance_id &id, listing_state state);
    void leave();
    /// Planned stop, or the list calls this node leaving.
    bool isSelfLeaving() const;

    /// Set when this node heard that it was declared dead; cleared by the call.
    bool takeDeclaredDead();
    std::vector<member_news> takeNews(const instance_id &receiver, int count, bool passesFailures);

private:
    void applyToSelf(const member_news &news);
    bool accepts(const member_news &news, const member_news &sender) const;
    void insert(const member_news &news, time_point now);
    void setState(member &subject, peer_state state, time_point now);
    void restoreDataCentre(const data_centre_id &dataCentre, time_point now);
    std::set<instance_id> listedIds() const;
    bool isBuried(const member_news &news) const;
    void bury(const member &subject, time_point now);

    struct grave {
        std::uint64_t incarnation = 0;
        std::uint32_t refutation = 0;
        time_point at{};
    };

    detector_settings m_settings;
    member_news m_self;
    std::map<instance_id, member> m_members;
    std::map<instance_id, grave> m_graves;
    news_queue<member_news> m_news;
    std::uint64_t m_changes = 0;
    bool m_declaredDead = false;
    bool m_selfListLeaving = false; ///< The list calls this node leaving.
    bool m_mayExpire = false; ///< Some member is not alive, or a grave is kept.
};

} // namespace mustardtrail::membership

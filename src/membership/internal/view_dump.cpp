#include "base/log_line.h"
#include "membership/config_reader_choice.h"
#include "membership/internal/view_logic.h"
#include "membership/peer_state_name.h"

#include <boost/json.hpp>

namespace mustardtrail::membership
{

namespace
{

namespace json = boost::json;

json::value millisecondsOrNull(const std::optional<std::chrono::milliseconds> &value)
{
    return value ? json::value(value->count()) : json::value(nullptr);
}

std::int64_t millisecondsSince(time_point then, time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
}

json::array dumpPeers(const member_table &members, time_point now)
{
    json::array peers;
    for (const auto &[id, known] : members.members()) {
        json::object entry;
        entry["id"] = id.str();
        entry["data_centre"] = known.news.member.dataCentre.str();
        entry["state"] = toString(known.state());
        entry["state_for_ms"] = millisecondsSince(known.stateSince, now);
        entry["heard_ms_ago"] = known.lastHeard ? json::value(millisecondsSince(*known.lastHeard, now)) : json::value(nullptr);
        entry["listed"] = known.listed;
        entry["list_says_leaving"] = known.listLeaving;
        entry["incarnation"] = known.news.member.incarnation;
        entry["refutation"] = known.news.refutation;
        peers.push_back(std::move(entry));
    }
    return peers;
}

json::array dumpBackends(const fleet_view &view)
{
    json::array backends;
    for (const auto &[id, assignment] : view.backends) {
        json::object entry;
        entry["id"] = id.str();
        entry["owner"] = assignment.owner.str();
        entry["new_work"] = assignment.acceptsNewWork;
        if (assignment.owner == view.self) {
            entry["fencing"] = assignment.fencingNumber;
        }
        backends.push_back(std::move(entry));
    }
    return backends;
}

json::array dumpRefusal(const std::vector<config::config_problem> &problems)
{
    json::array codes;
    for (const config::config_problem &problem : problems) {
        codes.push_back(json::value(toString(problem.code)));
    }
    return codes;
}

json::object dumpConfig(const config_follower &config, time_point now)
{
    json::object entry;
    entry["revision"] = config.store().revision();
    entry["digest"] = config.store().digest();
    entry["age_ms"] = millisecondsOrNull(config.age(now));
    entry["reads"] = config.duty().reads();
    entry["refused_revision"] = config.store().refusedRevision();
    entry["refused_for"] = dumpRefusal(config.store().refusal());
    return entry;
}

json::array dumpReaders(std::string_view service, const std::vector<instance_id> &candidates, const reader_duty &duty)
{
    json::array readers;
    for (const instance_id &candidate : candidates) {
        if (duty.isChosen(readerRank(service, candidate, candidates))) {
            readers.push_back(json::value(candidate.str()));
        }
    }
    return readers;
}

} // namespace

std::string_view toString(peer_state state)
{
    switch (state) {
    case peer_state::alive:
        return "alive";
    case peer_state::suspect:
        return "suspect";
    case peer_state::leaving:
        return "leaving";
    case peer_state::dead:
        return "dead";
    }
    return "dead";
}

json::object view_logic::dump(time_point now) const
{
    json::object out;
    out["instance"] = m_settings.self.str();
    out["data_centre"] = m_settings.dataCentre.str();
    out["incarnation"] = m_settings.incarnation;
    out["leaving"] = m_members.isSelfLeaving();
    out["isolated"] = m_confirmation.isIsolated();
    out["refreshing"] = m_confirmation.isRefreshing();
    out["confirmed"] = m_view != nullptr && m_view->isConfirmed(now);
    out["confirmed_ms_ago"] = m_view != nullptr ? json::value(millisecondsSince(m_view->confirmedAt, now)) : json::value(nullptr);
    out["dropped_datagrams"] = m_droppedDatagrams;
    out["config"] = dumpConfig(m_config, now);
    out["config_readers"] = dumpReaders(configService, localCandidates(), m_config.duty());
    json::object list;
    list["age_ms"] = millisecondsOrNull(m_list.list().age(now));
    list["newest_known_age_ms"] = millisecondsOrNull(m_list.duty().age(now));
    list["reads"] = m_list.duty().reads();
    out["list"] = std::move(list);
    out["list_readers"] = dumpReaders(listService, localCandidates(), m_list.duty());
    out["peers"] = dumpPeers(m_members, now);
    out["backends"] = m_view != nullptr ? dumpBackends(*m_view) : json::array();
    return out;
}

void view_logic::logMembers()
{
    if (m_loggedAt == m_members.changes()) {
        return;
    }
    m_loggedAt = m_members.changes();
    for (const auto &[id, known] : m_members.members()) {
        const auto before = m_loggedStates.find(id);
        if (before == m_loggedStates.end() || before->second != known.state()) {
            log(log_line("peer").add("id", id.str()).add("state", toString(known.state())).str());
            m_loggedStates[id] = known.state();
        }
    }
    std::erase_if(m_loggedStates, [this](const auto &entry) {
        return m_members.find(entry.first) == nullptr;
    });
}

} // namespace mustardtrail::membership

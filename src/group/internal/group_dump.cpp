#include "group/internal/group_run.h"

#include <boost/json/array.hpp>

namespace mustardtrail::group
{

boost::json::object group_run::dump(time_point now) const
{
    static constexpr const char *phaseNames[]
        = { "waiting", "reserving", "reserving_at_engines", "chaining", "completing", "completion_refused", "ended" };
    boost::json::array members;
    for (const group_member &member : m_members) {
        members.emplace_back(boost::json::object{
            { "backend_server", member.part.backend.str() },
            { "owner", member.owner.str() },
            { "tokens", member.part.tokens },
            { "reserved_tokens", member.part.reservedTokens },
            { "granted", member.grantedAt.has_value() },
            { "reserved", member.reservedAt.has_value() },
        });
    }
    return {
        { "group", m_key.group.str() },
        { "generation", m_key.generation },
        { "phase", phaseNames[static_cast<int>(m_phase)] },
        { "segment", m_segment },
        { "memory_tries", m_memoryTries },
        { "restarts", m_restarts },
        { "delivered", m_delivered },
        { "deadline_in_ms", std::chrono::duration_cast<std::chrono::milliseconds>(m_start.work.deadline - now).count() },
        { "members", std::move(members) },
    };
}

} // namespace mustardtrail::group

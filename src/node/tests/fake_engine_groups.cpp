#include "node/tests/fake_backend.h"

namespace mustardtrail::node::testing
{

namespace
{

group::kv_step stepOf(const call_engine &call)
{
    return static_cast<group::kv_step>(call.call.index());
}

} // namespace

void fake_backend::hold(const group::engine_group_id &group, token_count tokens, std::chrono::milliseconds lease)
{
    held_group &kept = m_groups[group];
    kept.tokens = std::max(kept.tokens, tokens);
    kept.leaseEnd = m_time.now() + lease;
}

group::engine_replied fake_backend::serve(const call_engine &call)
{
    group::engine_replied reply;
    reply.step = stepOf(call);
    reply.backend = m_server.id;
    if (const auto *reserve = std::get_if<group::kv_reserve>(&call.call)) {
        hold(group::engineGroupOf(reserve->call.key), reserve->tokens, reserve->lease);
    } else if (const auto *prefill = std::get_if<group::kv_prefill>(&call.call)) {
        hold(group::engineGroupOf(prefill->call.key), prefill->tokens, prefill->lease);
        m_groups.at(group::engineGroupOf(prefill->call.key)).prefilledAt = m_time.now();
        reply.digest = prefill->previousDigest + "d" + std::to_string(prefill->index);
    } else if (const auto *publish = std::get_if<group::kv_export>(&call.call)) {
        reply.ticket = "ticket-" + publish->call.key.group.str();
    } else if (const auto *attach = std::get_if<group::kv_import>(&call.call)) {
        hold(group::engineGroupOf(attach->call.key), 0, attach->lease);
    } else if (const auto *freed = std::get_if<group::kv_release>(&call.call)) {
        release(group::engineGroupOf(freed->call.key));
    }
    std::visit(
        [&reply](const auto &item) {
            reply.key = item.call.key;
            reply.sequence = item.call.sequence;
        },
        call.call);
    return reply;
}

time_point fake_backend::beginOf(const open_backend &request) const
{
    const auto held = request.group ? m_groups.find(request.group->group) : m_groups.end();
    const bool isHeld = held != m_groups.end() && held->second.leaseEnd > m_time.now();
    return isHeld ? held->second.prefilledAt.value_or(m_time.now()) : m_time.now();
}

void fake_backend::release(const group::engine_group_id &group)
{
    m_groups.erase(group);
}

std::vector<group::reported_group> fake_backend::groups()
{
    std::vector<group::reported_group> listed;
    std::erase_if(m_groups, [&](const auto &entry) {
        return entry.second.leaseEnd <= m_time.now();
    });
    for (const auto &[group, kept] : m_groups) {
        listed.push_back({ group, kept.tokens, std::chrono::duration_cast<std::chrono::milliseconds>(kept.leaseEnd - m_time.now()) });
    }
    return listed;
}

} // namespace mustardtrail::node::testing

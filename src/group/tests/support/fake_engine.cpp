#include "group/tests/support/fake_engine.h"

#include <algorithm>

namespace mustardtrail::group::testing
{

namespace
{

tl::unexpected<error> refused(error_code code)
{
    return tl::unexpected(error{ code, verdict::not_run, "fake", std::nullopt });
}

} // namespace

fake_engine::fake_engine(token_count memoryTokens)
    : m_memoryTokens(memoryTokens)
{
}

result<std::string> fake_engine::reserve(const engine_group_id &group, token_count tokens, std::chrono::milliseconds lease, time_point now)
{
    piece *known = find(group, now);
    const token_count others = heldTokens(now) - (known == nullptr ? 0 : known->reserved);
    if (others + tokens > m_memoryTokens) {
        return refused(error_code::backend_refused);
    }
    piece &item = m_pieces[group];
    item.reserved = tokens;
    item.endsAt = now + lease;
    return std::string();
}

result<std::string> fake_engine::prefill(
    const engine_group_id &group, int index, token_count tokens, const std::string &previous, time_point now)
{
    piece *item = find(group, now);
    if (item == nullptr || tokens > item->reserved) {
        return refused(error_code::backend_answer_invalid);
    }
    item->digest = previous + "/" + std::to_string(index) + ":" + std::to_string(tokens);
    return item->digest;
}

result<std::string> fake_engine::publish(const engine_group_id &group, time_point now)
{
    piece *item = find(group, now);
    if (item == nullptr || item->digest.empty()) {
        return refused(error_code::backend_answer_invalid);
    }
    item->exported = true;
    return "ticket-" + group.str();
}

result<std::string> fake_engine::attach(const engine_group_id &group, const std::string &ticket, time_point now)
{
    if (find(group, now) == nullptr || ticket != "ticket-" + group.str()) {
        return refused(error_code::backend_answer_invalid);
    }
    return std::string();
}

result<std::string> fake_engine::release(const engine_group_id &group)
{
    m_pieces.erase(group);
    return std::string();
}

result<std::string> fake_engine::accept(const attempt_id &attempt, const engine_group_id &group, const std::string &digest, time_point now)
{
    if (m_seen.contains(attempt)) {
        return refused(error_code::duplicate_attempt);
    }
    const piece *item = find(group, now);
    if (item == nullptr || item->digest != digest) {
        return refused(error_code::backend_answer_invalid);
    }
    m_seen.insert(attempt);
    m_streams.insert(attempt);
    return std::string();
}

void fake_engine::endStream(const attempt_id &attempt)
{
    m_streams.erase(attempt);
}

void fake_engine::restart()
{
    ++m_incarnation;
    m_pieces.clear();
    m_streams.clear();
}

bool fake_engine::holds(const engine_group_id &group, time_point now)
{
    return find(group, now) != nullptr;
}

bool fake_engine::runs(const attempt_id &attempt) const
{
    return m_streams.contains(attempt);
}

token_count fake_engine::heldTokens(time_point now)
{
    expire(now);
    token_count held = 0;
    for (const auto &[group, item] : m_pieces) {
        held += item.reserved;
    }
    return held;
}

engine_holdings fake_engine::holdings(const backend_server_id &id, time_point now)
{
    engine_holdings list;
    list.report.backend = id;
    list.report.incarnation = m_incarnation;
    list.report.takenAt = now;
    list.report.memoryTokens = m_memoryTokens;
    list.report.usedTokens = heldTokens(now);
    for (const attempt_id &attempt : m_streams) {
        list.report.streams.push_back({ attempt, 0, 1 });
    }
    for (const auto &[group, item] : m_pieces) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(item.endsAt - now);
        list.groups.push_back({ group, item.reserved, std::max(left, std::chrono::milliseconds(0)) });
    }
    return list;
}

fake_engine::piece *fake_engine::find(const engine_group_id &group, time_point now)
{
    expire(now);
    const auto found = m_pieces.find(group);
    return found == m_pieces.end() || found->second.endsAt <= now ? nullptr : &found->second;
}

void fake_engine::expire(time_point now)
{
    std::erase_if(m_pieces, [now](const auto &entry) {
        return entry.second.endsAt <= now && !entry.second.exported;
    });
}

} // namespace mustardtrail::group::testing

#include "group/internal/release_queue.h"

#include <algorithm>

#include <boost/json/object.hpp>

namespace mustardtrail::group
{

bool release_queue::piece::done() const
{
    return owners.empty() && !atEngine;
}

void release_queue::add(const group_key &key, const backend_server_id &backend, const std::set<instance_id> &owners, bool atEngine)
{
    if (!owners.empty() || atEngine) {
        m_pieces[{ key, backend }] = { owners, atEngine, time_point{}, std::nullopt };
    }
}

void release_queue::on(const owner_released &event)
{
    const auto found = m_pieces.find({ event.key, event.backend });
    if (found == m_pieces.end()) {
        return;
    }
    found->second.owners.erase(event.instance);
    if (found->second.done()) {
        m_pieces.erase(found);
    }
}

void release_queue::on(const engine_replied &event)
{
    const auto found = m_pieces.find({ event.key, event.backend });
    if (found == m_pieces.end() || event.step != kv_step::release || event.failure) {
        return;
    }
    found->second.atEngine = false;
    if (found->second.done()) {
        m_pieces.erase(found);
    }
}

void release_queue::on(const engine_lost &event)
{
    for (auto &[key, item] : m_pieces) {
        item.atEngine = item.atEngine && key.second != event.backend;
    }
    std::erase_if(m_pieces, [](const auto &entry) {
        return entry.second.done();
    });
}

void release_queue::flush(const group_options &options, time_point now, group_actions &actions)
{
    for (auto &[key, item] : m_pieces) {
        if (!item.giveUpAt) {
            item.giveUpAt = now + options.releaseLimit;
            item.nextAt = now + options.releaseInterval;
            send(key, item, options, now, actions);
        }
    }
}

void release_queue::onTick(const group_options &options, time_point now, group_actions &actions)
{
    for (auto &[key, item] : m_pieces) {
        if (item.nextAt <= now) {
            item.nextAt = now + options.releaseInterval;
            send(key, item, options, now, actions);
        }
    }
    std::erase_if(m_pieces, [now](const auto &entry) {
        return *entry.second.giveUpAt <= now;
    });
}

void release_queue::send(
    const piece_key &key, const piece &item, const group_options &options, time_point now, group_actions &actions) const
{
    const auto &[group, backend] = key;
    if (item.atEngine) {
        // Freeing is safe under any view, so nothing but the deadline bounds it.
        const time_point deadline = now + options.engineTimeout;
        actions.emplace_back(kv_release{ { group, backend, 0, 0, deadline, deadline } });
    }
    for (const instance_id &owner : item.owners) {
        actions.emplace_back(release_at_owner{ owner, { group, backend } });
    }
}

std::optional<time_point> release_queue::nextWake() const
{
    std::optional<time_point> earliest;
    for (const auto &[key, item] : m_pieces) {
        earliest = earliest ? std::min(*earliest, item.nextAt) : item.nextAt;
    }
    return earliest;
}

bool release_queue::empty() const
{
    return m_pieces.empty();
}

boost::json::array release_queue::dump() const
{
    boost::json::array rows;
    for (const auto &[key, item] : m_pieces) {
        rows.emplace_back(boost::json::object{
            { "group", engineGroupOf(key.first).str() },
            { "backend_server", key.second.str() },
            { "at_engine", item.atEngine },
            { "at_owners", item.owners.size() },
        });
    }
    return rows;
}

} // namespace mustardtrail::group

#include "request/key_home.h"

#include <algorithm>

namespace mustardtrail::request
{

using std::chrono::milliseconds;

std::vector<key_handover> key_home::handOver(time_point now) const
{
    if (m_history.empty()) {
        return {};
    }
    home_candidates others = m_history.back().candidates;
    std::erase(others.instances, m_self);
    std::map<instance_id, std::vector<held_key>> byHome;
    std::vector<key_handover> messages;
    for (const auto &[key, held] : m_entries) {
        const milliseconds left = std::chrono::ceil<milliseconds>(held.expires - now);
        if (left <= milliseconds(0)) {
            continue;
        }
        for (const instance_id &home : homesAmong(others, key.first, key.second)) {
            std::vector<held_key> &keys = byHome[home];
            keys.push_back({ held.request, key.first, key.second, held.fingerprint, held.running, held.outcome, left });
            if (keys.size() == maxKeysPerHandover) {
                messages.push_back({ home, std::exchange(keys, {}) });
            }
        }
    }
    for (auto &[home, keys] : byHome) {
        if (!keys.empty()) {
            messages.push_back({ home, std::move(keys) });
        }
    }
    return messages;
}

void key_home::take(const key_handover &handover, time_point now)
{
    dropExpired(now);
    // What a peer says may not hold a key for longer than a claim of its own could.
    const milliseconds longest = m_options.window + m_longestTarget;
    for (const held_key &key : handover.keys) {
        const entry_key id{ key.customer, key.key };
        const auto known = m_entries.find(id);
        if (known != m_entries.end()) {
            if (!key.running) {
                end({ key.request, key.customer, key.key, key.outcome }, now);
            }
            continue;
        }
        if (m_entries.size() >= m_options.maxEntries) {
            return;
        }
        insert(id, { key.request, key.fingerprint, key.running, key.outcome, now + std::min(key.left, longest) });
    }
}

} // namespace mustardtrail::request

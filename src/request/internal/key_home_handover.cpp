#include "request/key_home.h"

#include <algorithm>
#include <utility>

namespace mustardtrail::request
{

using std::chrono::milliseconds;

namespace
{

/// Groups keys by home into messages of at most maxKeysPerHandover keys.
class handover_messages
{
public:
    void add(const instance_id &home, held_key key)
    {
        std::vector<held_key> &keys = m_byHome[home];
        keys.push_back(std::move(key));
        if (keys.size() == maxKeysPerHandover) {
            m_messages.push_back({ home, std::exchange(keys, {}) });
        }
    }

    std::vector<key_handover> take()
    {
        for (auto &[home, keys] : m_byHome) {
            if (!keys.empty()) {
                m_messages.push_back({ home, std::move(keys) });
            }
        }
        return std::move(m_messages);
    }

private:
    std::map<instance_id, std::vector<held_key>> m_byHome;
    std::vector<key_handover> m_messages;
};

} // namespace

std::vector<key_handover> key_home::handOver(time_point now) const
{
    if (m_history.empty()) {
        return {};
    }
    home_candidates others = m_history.back().candidates;
    std::erase(others.instances, m_self);
    handover_messages messages;
    for (const auto &[key, held] : m_entries) {
        if (held.expires <= now) {
            continue;
        }
        for (const instance_id &home : homesAmong(others, key.first, key.second)) {
            messages.add(home, heldKey(key, held, now));
        }
    }
    return messages.take();
}

// A key whose request still runs is held back until its outcome is known: "not run" releases the key, but is sent only to
// the homes that granted the claim, so a new home would keep the key.
std::vector<key_handover> key_home::handOverToNewHomes(time_point now)
{
    dropExpired(now);
    handover_messages messages;
    for (auto key = m_pendingHandover.begin(); key != m_pendingHandover.end();) {
        const auto held = m_entries.find(*key);
        if (held != m_entries.end() && held->second.running) {
            ++key;
            continue;
        }
        if (held != m_entries.end()) {
            const entry &known = held->second;
            std::vector<home_incarnation> homes = otherHomes(*key);
            for (const home_incarnation &other : homes) {
                if (std::find(known.knownAt.begin(), known.knownAt.end(), other) == known.knownAt.end()) {
                    messages.add(other.home, heldKey(*key, known, now));
                }
            }
            held->second.knownAt = std::move(homes);
        }
        key = m_pendingHandover.erase(key);
    }
    return messages.take();
}

held_key key_home::heldKey(const entry_key &key, const entry &held, time_point now)
{
    const milliseconds left = std::chrono::ceil<milliseconds>(held.expires - now);
    return { held.request, key.first, key.second, held.fingerprint, held.running, held.outcome, left };
}

std::vector<key_home::home_incarnation> key_home::otherHomes(const entry_key &key) const
{
    std::vector<home_incarnation> others;
    for (const instance_id &home : homesAmong(m_history.back().candidates, key.first, key.second)) {
        const auto peer = m_view->peers.find(home);
        if (peer != m_view->peers.end()) {
            others.push_back({ home, peer->second.incarnation });
        }
    }
    return others;
}

void key_home::updateCandidateIncarnations()
{
    std::vector<home_incarnation> incarnations;
    for (const instance_id &candidate : m_history.back().candidates.instances) {
        const auto peer = m_view->peers.find(candidate);
        if (peer != m_view->peers.end()) {
            incarnations.push_back({ candidate, peer->second.incarnation });
        }
    }
    if (incarnations == m_candidateIncarnations) {
        return;
    }
    m_candidateIncarnations = std::move(incarnations);
    for (const auto &[key, held] : m_entries) {
        m_pendingHandover.insert(key);
    }
}

void key_home::acceptHandover(const key_handover &handover, time_point now)
{
    dropExpired(now);
    // A peer's message must not keep a key longer than a claim at this home could.
    const milliseconds longest = m_options.window + m_longestTarget;
    for (const held_key &key : handover.keys) {
        const entry_key id{ key.customer, key.key };
        const auto known = m_entries.find(id);
        if (known != m_entries.end()) {
            if (!key.running) {
                recordOutcome({ key.request, key.customer, key.key, key.outcome }, now);
            }
            continue;
        }
        if (m_entries.size() >= m_options.maxEntries || m_history.empty()) {
            return;
        }
        insert(id, { key.request, key.fingerprint, key.running, key.outcome, now + std::min(key.left, longest), otherHomes(id) });
    }
}

} // namespace mustardtrail::request

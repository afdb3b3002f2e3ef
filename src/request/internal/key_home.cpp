#include "request/key_home.h"

#include <boost/json/object.hpp>

#include <algorithm>

namespace mustardtrail::request
{

using std::chrono::milliseconds;

namespace
{

/// Longest total target of the classes whose requests claim keys.
milliseconds longestTarget(const config::configuration &config)
{
    milliseconds longest{ 0 };
    for (const auto &[id, workClass] : config.classes) {
        if (!workClass.repeatable) {
            longest = std::max(longest, workClass.totalTarget);
        }
    }
    return longest;
}

} // namespace

key_home::key_home(key_home_options options, instance_id self)
    : m_options(options)
    , m_self(std::move(self))
{
}

void key_home::onView(std::shared_ptr<const membership::fleet_view> view)
{
    if (view == nullptr || view->config == nullptr) {
        return;
    }
    // When two confirmations are further apart than the lease, peers may have declared this instance dead and granted
    // keys elsewhere in between: the history from before the gap no longer covers the window.
    const bool gap = m_view != nullptr && view->confirmedAt - m_view->confirmedAt > membership::viewLease;
    if (gap || view->isolated) {
        m_history.clear();
    }
    home_candidates candidates = homeCandidates(*view, view->selfDataCentre);
    if (m_history.empty() || m_history.back().candidates != candidates) {
        m_history.push_back({ view->confirmedAt, std::move(candidates) });
    }
    while (m_history.size() > m_options.maxHistory) {
        m_history.pop_front();
    }
    m_longestTarget = longestTarget(*view->config);
    m_view = std::move(view);
    updateCandidateIncarnations();
}

key_claim_reply key_home::claim(const key_claim &claim, time_point now)
{
    dropExpired(now);
    if (m_view == nullptr || !m_view->isConfirmed(now) || m_view->isolated) {
        return refusal(claim, error_code::view_not_confirmed, m_options.retryAfter);
    }
    if (!isKeyHome(m_history.back().candidates, m_self, claim.customer, claim.key)) {
        return refusal(claim, error_code::not_owner, m_options.retryAfter);
    }
    const auto held = m_entries.find({ claim.customer, claim.key });
    if (held != m_entries.end()) {
        return answerHeld(claim, held->second, now);
    }
    if (m_entries.size() >= m_options.maxEntries) {
        const auto wait = std::chrono::ceil<milliseconds>(m_expiries.begin()->first - now);
        return refusal(claim, error_code::memory_budget_spent, std::max(wait, milliseconds(1)));
    }
    entry granted;
    granted.request = claim.request;
    granted.fingerprint = claim.fingerprint;
    // If no outcome arrives, the window starts at the deadline of the request.
    granted.expires = now + claim.remaining + m_options.window;
    granted.knownAt = otherHomes({ claim.customer, claim.key });
    insert({ claim.customer, claim.key }, std::move(granted));
    return grant(claim, now);
}

void key_home::recordOutcome(const key_outcome &outcome, time_point now)
{
    const auto held = m_entries.find({ outcome.customer, outcome.key });
    if (held == m_entries.end() || held->second.request != outcome.request) {
        return;
    }
    if (outcome.outcome == verdict::not_run) {
        // A late or duplicate "not run" must not release a key whose request is known to have run.
        if (held->second.running) {
            erase(held);
        }
        return;
    }
    held->second.running = false;
    held->second.outcome = std::max(held->second.outcome, outcome.outcome);
    setExpiry(held->first, held->second, now + m_options.window);
}

std::size_t key_home::size() const
{
    return m_entries.size();
}

boost::json::value key_home::dump(time_point now) const
{
    boost::json::object state;
    state["keys"] = m_entries.size();
    state["keys_limit"] = m_options.maxEntries;
    state["window_ms"] = m_options.window.count();
    state["candidate_changes"] = m_history.size();
    if (!m_history.empty()) {
        state["known_since_ms"] = std::chrono::floor<milliseconds>(now - m_history.front().since).count();
        state["candidates"] = m_history.back().candidates.instances.size();
    }
    return state;
}

key_claim_reply key_home::refusal(const key_claim &claim, error_code code, milliseconds retryAfter) const
{
    key_claim_reply reply;
    reply.request = claim.request;
    reply.home = m_self;
    reply.status = key_claim_status::refused;
    reply.code = code;
    reply.retryAfter = retryAfter;
    return reply;
}

key_claim_reply key_home::answerHeld(const key_claim &claim, const entry &held, time_point now) const
{
    if (held.request == claim.request && held.running) {
        return grant(claim, now);
    }
    key_claim_reply reply;
    reply.request = claim.request;
    reply.home = m_self;
    if (held.fingerprint != claim.fingerprint) {
        reply.status = key_claim_status::fingerprint_differs;
        reply.code = error_code::idempotency_key_reused;
        return reply;
    }
    reply.status = key_claim_status::duplicate;
    reply.code = error_code::duplicate_attempt;
    reply.outcome = held.outcome;
    return reply;
}

key_claim_reply key_home::grant(const key_claim &claim, time_point now) const
{
    key_claim_reply reply;
    reply.request = claim.request;
    reply.home = m_self;
    reply.status = key_claim_status::granted;
    reply.incompleteHistory = hasIncompleteHistory(claim, now);
    return reply;
}

bool key_home::hasIncompleteHistory(const key_claim &claim, time_point now) const
{
    // A key may have been claimed up to one total target before its window starts.
    const time_point windowStart = now - m_options.window - m_longestTarget;
    if (m_history.front().since > windowStart) {
        return true;
    }
    for (auto change = m_history.rbegin(); change != m_history.rend(); ++change) {
        if (!isKeyHome(change->candidates, m_self, claim.customer, claim.key)) {
            return true;
        }
        if (change->since <= windowStart) {
            return false;
        }
    }
    return false;
}

void key_home::insert(const entry_key &key, entry held)
{
    m_expiries.emplace(held.expires, key);
    m_entries.emplace(key, std::move(held));
}

void key_home::erase(std::map<entry_key, entry>::iterator held)
{
    m_expiries.erase({ held->second.expires, held->first });
    m_entries.erase(held);
}

void key_home::setExpiry(const entry_key &key, entry &held, time_point expires)
{
    m_expiries.erase({ held.expires, key });
    held.expires = expires;
    m_expiries.emplace(expires, key);
}

void key_home::dropExpired(time_point now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        m_entries.erase(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
    }
}

} // namespace mustardtrail::request

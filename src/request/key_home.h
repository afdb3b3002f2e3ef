#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "membership/fleet_view.h"
#include "request/key_claim.h"
#include "request/key_claim_reply.h"
#include "request/key_handover.h"
#include "request/key_homes.h"
#include "request/key_outcome.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardtrail::request
{

struct key_home_options {
    std::chrono::milliseconds window{ 600000 }; ///< How long a key is kept after its request ended.
    std::chrono::milliseconds retryAfter{ 1000 }; ///< Sent with a refusal when this home cannot decide.
    std::size_t maxEntries = 100000; ///< Most keys held; further claims are refused.
    std::size_t maxHistory = 64; ///< Most candidate changes kept; what was before them counts as unknown.
};

/// Registry of the idempotency keys whose home is this instance. Each key has up to homesPerKey homes, chosen by
/// rendezvous hashing; a non-repeatable request runs only after all of them have granted its claim.
class key_home
{
public:
    key_home(key_home_options options, instance_id self);

    void onView(std::shared_ptr<const membership::fleet_view> view);

    key_claim_reply claim(const key_claim &claim, time_point now);
    void recordOutcome(const key_outcome &outcome, time_point now);

    /// Returns the keys with a known outcome for homes that joined or restarted after the keys were claimed, so that the
    /// successor of a dead home and a restarted home receive them. Call after each view.
    std::vector<key_handover> handOverToNewHomes(time_point now);
    /// Planned stop: returns all keys held here, for the instances that become their homes without this one.
    std::vector<key_handover> handOver(time_point now) const;
    /// Stores keys received from another home; records that exist here are kept.
    void acceptHandover(const key_handover &handover, time_point now);

    std::size_t size() const;
    boost::json::value dump(time_point now) const;

private:
    using entry_key = std::pair<customer_id, std::string>;

    /// One incarnation of a home.
    struct home_incarnation {
        instance_id home;
        std::uint64_t incarnation = 0;

        bool operator==(const home_incarnation &) const = default;
    };

    struct entry {
        request_id request;
        std::uint64_t fingerprint = 0;
        bool running = true;
        verdict outcome = verdict::may_have_run;
        time_point expires{};
        std::vector<home_incarnation> knownAt; ///< Other homes that have the key or were its homes when it was claimed.
    };

    struct candidates_since {
        time_point since{};
        home_candidates candidates;
    };

    key_claim_reply refusal(const key_claim &claim, error_code code, std::chrono::milliseconds retryAfter) const;
    key_claim_reply answerHeld(const key_claim &claim, const entry &held, time_point now) const;
    key_claim_reply grant(const key_claim &claim, time_point now) const;
    static held_key heldKey(const entry_key &key, const entry &held, time_point now);
    std::vector<home_incarnation> otherHomes(const entry_key &key) const;
    bool hasIncompleteHistory(const key_claim &claim, time_point now) const;
    void updateCandidateIncarnations();
    void insert(const entry_key &key, entry held);
    void erase(std::map<entry_key, entry>::iterator held);
    void setExpiry(const entry_key &key, entry &held, time_point expires);
    void dropExpired(time_point now);

    key_home_options m_options;
    instance_id m_self;
    std::shared_ptr<const membership::fleet_view> m_view;
    std::chrono::milliseconds m_longestTarget{ 0 };
    std::deque<candidates_since> m_history;
    std::map<entry_key, entry> m_entries;
    std::set<std::pair<time_point, entry_key>> m_expiries;
    std::vector<home_incarnation> m_candidateIncarnations; ///< Candidates in the last view, without this instance.
    std::set<entry_key> m_pendingHandover; ///< Keys whose homes may have changed.
};

} // namespace mustardtrail::request

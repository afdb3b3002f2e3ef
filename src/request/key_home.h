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
    std::chrono::milliseconds window{ 600000 }; ///< How long a key is remembered after its request ended.
    std::chrono::milliseconds retryAfter{ 1000 }; ///< Given when this home cannot decide.
    std::size_t maxEntries = 100000; ///< Keys held; a claim beyond it is refused.
    std::size_t maxHistory = 64; ///< Changes of the candidates held; older ones count as unknown.
};

/// Memory of the idempotency keys whose home is this instance.
class key_home
{
public:
    key_home(key_home_options options, instance_id self);

    void onView(std::shared_ptr<const membership::fleet_view> view);

    key_claim_reply claim(const key_claim &claim, time_point now);
    void recordOutcome(const key_outcome &outcome, time_point now);

    /// The keys held here whose outcome is known, for the homes that came up since they were claimed: after a death the
    /// successor learns them, and so does a home that was started anew. Called after each view.
    std::vector<key_handover> handOverToNewHomes(time_point now);
    /// Planned stop: the keys held here, for the instances that are their homes without this one.
    std::vector<key_handover> handOver(time_point now) const;
    /// Takes keys over from a home that stops; what is known here already stays.
    void acceptHandover(const key_handover &handover, time_point now);

    std::size_t size() const;
    boost::json::value dump(time_point now) const;

private:
    using entry_key = std::pair<customer_id, std::string>;

    /// One start of an instance.
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
        std::vector<home_incarnation> knownAt; ///< Other homes that have the key, or had it when it was claimed.
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
    std::vector<home_incarnation> m_candidateIncarnations; ///< Candidates as of the last view, without this instance.
    std::set<entry_key> m_pendingHandover; ///< Their homes may have changed.
};

} // namespace mustardtrail::request

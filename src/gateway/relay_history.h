#pragma once

#include "base/clock.h"
#include "gateway/store_relay.h"

#include <deque>
#include <map>
#include <vector>

namespace mustardtrail::gateway
{

/// The store changes that this instance relayed recently, to resend them to instances that missed some. Guards against lost
/// datagrams, and serves instances that the store refuses while it answers this one.
class relay_history
{
public:
    void add(const store_relay &relay, time_point now);
    /// Returns the relays that an instance at store revision `revision` lacks, oldest first. Empty when the history does not
    /// reach back to that revision, or when changes were resent to the instance within `resendInterval`.
    std::vector<store_relay> missedRelaysFor(peer_address peer, std::uint64_t revision, time_point now);

    static constexpr std::chrono::milliseconds retention{ 10'000 }; ///< Longer than an instance stays ready without the store.
    static constexpr std::chrono::milliseconds resendInterval{
        150
    }; ///< By then the instance's next report shows whether the changes arrived.
    static constexpr size_t maxBytes = 256 * 1024; ///< About 0.1 % of an instance's memory.

private:
    struct entry {
        store_relay relay;
        time_point addedAt{};
    };

    std::deque<entry> m_entries;
    size_t m_bytes = 0;
    std::map<peer_address, time_point> m_lastResentAt;
};

} // namespace mustardtrail::gateway

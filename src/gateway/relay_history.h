#pragma once

#include "base/clock.h"
#include "gateway/store_relay.h"

#include <deque>
#include <map>
#include <vector>

namespace mustardtrail::gateway
{

/// The last changes that this instance relayed, for instances that missed some. Answers lost datagrams, and instances
/// that the store turns away while it serves this one.
class relay_history
{
public:
    void add(const store_relay &relay, time_point now);
    /// What an instance that knows the store up to `revision` lacks, oldest first; nothing when that is not known here or
    /// the instance got a repair lately.
    std::vector<store_relay> missedRelaysFor(peer_address peer, std::uint64_t revision, time_point now);

    static constexpr std::chrono::milliseconds retention{ 10'000 }; ///< Longer than an instance keeps its readiness without the store.
    static constexpr std::chrono::milliseconds resendInterval{ 150 }; ///< Until the repair shows in the instance's next report.
    static constexpr size_t maxBytes = 256 * 1024; ///< A thousandth of an instance's memory.

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

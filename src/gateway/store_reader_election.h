#pragma once

#include "base/clock.h"
#include "gateway/peer_address.h"

#include <map>
#include <optional>

namespace mustardtrail::gateway
{

/// Elects the instance that reads the platform's store: in each data centre the one with the lowest address that reaches the
/// store, which relays the changes to the others. Store calls have a price, so not every instance should make them. Any
/// instance may read at any time, so a reader that crashes, is cut off or is refused by the store is replaced after one time-out.
class store_reader_election
{
public:
    /// An instance that receives no relay for `relayTimeout` reads the store itself.
    store_reader_election(peer_address self, std::chrono::milliseconds relayTimeout);

    /// Records a relay from an instance of the same data centre.
    void recordRelay(peer_address by, time_point now);
    /// Records the result of a store query of this instance.
    void recordReadResult(bool succeeded);
    /// Records that this instance lacks changes that others have. It waits `resendTimeout` for them if `willBeResent`, otherwise it
    /// reads the store at once.
    void recordMissedChanges(bool willBeResent, time_point now);
    /// Records that the missed changes have arrived.
    void recordCaughtUp();

    bool isBehind() const;
    /// Returns when to read the store if nothing else is recorded by then.
    time_point nextReadAt(time_point now) const;

    static constexpr std::chrono::milliseconds resendTimeout{
        500
    }; ///< Two of this instance's reports, which show what it lacks, in case one is lost.

private:
    std::map<peer_address, time_point> m_lastRelayAt;
    peer_address m_self;
    std::chrono::milliseconds m_relayTimeout;
    bool m_succeeded = true;
    std::optional<time_point> m_resendDeadline; ///< Set while changes are missing: when to read them from the store.
};

} // namespace mustardtrail::gateway

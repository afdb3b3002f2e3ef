#pragma once

#include "base/clock.h"
#include "gateway/peer_address.h"

#include <map>
#include <optional>

namespace mustardtrail::gateway
{

/// Whether this instance asks the platform's store itself. In each data centre the instance with the lowest address that
/// reaches the store does, and tells the others. Answers the price of a call at many instances; a reader that dies, is cut
/// off or turned away is replaced after one silence, as every instance may read at any time.
class store_reader_election
{
public:
    /// `relayTimeout`: without a relay for this long, an instance asks itself.
    store_reader_election(peer_address self, std::chrono::milliseconds relayTimeout);

    /// An instance of the same data centre told what it read.
    void recordRelay(peer_address by, time_point now);
    /// The own question was answered, or not.
    void recordReadResult(bool succeeded);
    /// The others have changes that this instance lacks, and that they will not repeat unless `willBeResent`.
    void recordMissedChanges(bool willBeResent, time_point now);
    /// It has them now.
    void recordCaughtUp();

    bool isBehind() const;
    /// When to ask, if nothing further is heard.
    time_point nextReadAt(time_point now) const;

    static constexpr std::chrono::milliseconds resendTimeout{
        500
    }; ///< The next report of this instance shows what it lacks; twice, for a lost datagram.

private:
    std::map<peer_address, time_point> m_lastRelayAt;
    peer_address m_self;
    std::chrono::milliseconds m_relayTimeout;
    bool m_succeeded = true;
    std::optional<time_point> m_resendDeadline; ///< Then it asks by itself.
};

} // namespace mustardtrail::gateway

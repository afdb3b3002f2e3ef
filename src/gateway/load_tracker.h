#pragma once

#include "base/ids.h"
#include "gateway/server_work.h"

#include <map>
#include <vector>

namespace mustardtrail::gateway
{

/// Load of one backend server from the work that all instances are known to have there.
struct server_load {
    std::chrono::microseconds pendingPrefill{ 0 }; ///< Until it has read what it was given.
    std::chrono::microseconds overdue{ 0 }; ///< By how much its oldest unread work is late.
    std::int64_t memoryTokens = 0;
    std::int64_t contextTokens = 0; ///< What its writers look back on, now or soon.
    unsigned requests = 0; ///< Without the parts that it reads for others.
    unsigned decodingRequests = 0;
    unsigned latencySensitiveRequests = 0; ///< Writers that notice long passes, and readers that soon will be.
    unsigned sentLastSecond = 0;
};

/// Work at every backend server: this instance's own and what the others told.
class load_tracker
{
public:
    void add(const server_work &work);
    /// False when it was known.
    bool recordFirstToken(std::uint64_t request);
    void finish(std::uint64_t request);
    /// All work of another instance, in place of what it told before.
    void replacePeerWork(const instance_id &peer, std::vector<server_work> work, time_point now);
    /// Forgets instances that have been silent for peerExpiry.
    void expire(time_point now);

    std::map<server_key, server_load> loads(time_point now) const;
    const std::vector<server_work> &ownWork() const;
    size_t peerCount() const;

    /// Work of a silent instance counts this long: a few times the interval between its messages.
    static constexpr std::chrono::milliseconds peerExpiry{ 2'500 };

private:
    struct peer_work {
        std::vector<server_work> work;
        time_point receivedAt{};
    };
    std::vector<server_work> m_own;
    std::map<instance_id, peer_work> m_peers;
};

} // namespace mustardtrail::gateway

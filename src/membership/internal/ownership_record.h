#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "membership/internal/logical_clock.h"

#include <cstdint>
#include <map>
#include <set>

namespace mustardtrail::membership
{

/// Since when this instance has owned which backend servers, and under which fencing number.
class ownership_record
{
public:
    struct claim {
        time_point since{};
        std::uint64_t fencingNumber = 0;
    };

    explicit ownership_record(const instance_id &self);

    /// Keeps claims on servers still owned and makes new ones, all new ones at one logical time.
    void update(const std::set<backend_server_id> &owned, logical_clock &clock, time_point now);
    /// Another instance may have been owner meanwhile: every claim ends.
    void interrupt();
    /// A backend server has seen a higher number than the claim's.
    void raiseAbove(const backend_server_id &server, std::uint64_t highest, logical_clock &clock);

    const std::map<backend_server_id, claim> &claims() const;

private:
    std::uint64_t numberAt(std::uint64_t logicalTime) const;

    std::uint64_t m_tieBreaker;
    std::map<backend_server_id, claim> m_claims;
};

} // namespace mustardtrail::membership

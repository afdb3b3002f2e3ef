#pragma once

#include "membership/peer.h"

#include <cstdint>

namespace mustardtrail::membership
{

/// What one node says about a member: its state at an incarnation and a refutation count.
struct member_news {
    peer member;
    std::uint32_t refutation = 0; ///< Grows each time the member contradicts news of its failure.

    bool operator==(const member_news &) const = default;
};

/// True when `left` replaces `right`: higher incarnation, then refutation, then the graver state.
bool isNewer(const member_news &left, const member_news &right);

} // namespace mustardtrail::membership

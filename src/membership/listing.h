#pragma once

#include <cstdint>
#include <string>

namespace mustardtrail::membership
{

enum class listing_kind {
    instance,
    backend_server,
};

enum class listing_state {
    live,
    leaving,
    absent, ///< Was listed before, or is configured, and the list no longer has it.
};

/// State of one entry of the platform's live list, as passed on between peers.
struct listing {
    std::string id;
    listing_kind kind = listing_kind::backend_server;
    listing_state state = listing_state::live;
    std::uint64_t version = 0; ///< Logical time at which a reader of the list saw the state; the highest wins.

    bool operator==(const listing &) const = default;
};

} // namespace mustardtrail::membership

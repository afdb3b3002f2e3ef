#pragma once

#include "base/clock.h"
#include "base/error.h"
#include "group/reservation_messages.h"

#include <functional>
#include <map>
#include <optional>

#include <boost/json/value.hpp>

namespace mustardtrail::group
{

/// What the owner knows of an engine when a group asks for memory.
struct engine_memory {
    token_count freeTokens = 0; ///< Apart from the reservations of this table and from what the engine holds for the asking group.
    std::uint64_t fencingNumber = 0;
};

/// Fails when this instance may not grant now: not the owner, view not confirmed, engine takes no new work or no further group.
using engine_memory_hook = std::function<result<engine_memory>(const backend_server_id &, const group_key &)>;

struct reservation_options {
    std::chrono::milliseconds leaseLimit{ 30000 }; ///< Longer leases are cut to this.
    std::chrono::milliseconds releasedMemory{ 60000 }; ///< How long a released group is remembered against late messages.
    std::chrono::milliseconds retryAfter{ 500 }; ///< Told to a group that found the memory held.
    bool rememberReleased = true; ///< Tests switch this off to show what it is for.
};

/// Memory that an owner has promised to groups at its engines; every promise ends by itself.
class reservation_table
{
public:
    reservation_table(reservation_options options, engine_memory_hook memory);

    reserve_reply reserve(const reserve_request &request, time_point now);
    void release(const release_request &request, time_point now);
    void onTick(time_point now);
    std::optional<time_point> nextWake() const;

    token_count heldTokens(const backend_server_id &backend) const;
    int heldGroups(const backend_server_id &backend) const;
    bool holds(const backend_server_id &backend, const engine_group_id &group) const;

    boost::json::value dump(time_point now) const;

private:
    struct reservation {
        std::uint64_t generation = 0;
        token_count tokens = 0; ///< 0 once released.
        time_point endsAt{}; ///< End of the lease, or of the memory of a release.
        time_point since{};
    };
    using engine_reservations = std::map<group_id, reservation>;

    std::optional<error> refusal(const reserve_request &request, const engine_memory &memory) const;

    reservation_options m_options;
    engine_memory_hook m_memory;
    std::map<backend_server_id, engine_reservations> m_engines;
};

} // namespace mustardtrail::group

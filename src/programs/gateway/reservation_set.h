#pragma once

#include "programs/gateway/gateway_context.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace mustardtrail::gateway
{

/// KV cache memory that one request has reserved at several engines, all or nothing. The leases are renewed while the
/// request runs and are short, so that the reservations of a crashed instance expire soon.
class reservation_set : public std::enable_shared_from_this<reservation_set>
{
public:
    /// Memory to reserve at one engine.
    struct share {
        server_key server = 0;
        backend_server_id id;
        endpoint address;
        std::int64_t tokens = 0;
    };

    /// `work` identifies the send in the fleet state, `attempt` its request in the log.
    reservation_set(gateway_context &context,
        boost::asio::any_io_executor executor,
        std::uint64_t work,
        std::vector<share> shares,
        attempt_id attempt = {});

    /// Returns false when an engine had no room; the reservations granted by the others are then released.
    boost::asio::awaitable<bool> acquire();
    /// Releases all reservations in the background.
    void release();
    /// Records that the request has begun to run, so that it uses the memory.
    void recordUse();
    /// Name of the reservation at this server.
    std::string nameFor(server_key server) const;

    static constexpr std::chrono::milliseconds leaseDuration{ 3'500 }; ///< Below the time after which unused memory counts as leaked.
    static constexpr std::chrono::milliseconds renewalInterval{ 1'200 }; ///< Two renewals may fail before the lease expires.

private:
    boost::asio::awaitable<bool> reserveAt(const share &target);
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> renewAt(share target);
    boost::asio::awaitable<void> releaseAt(share target);
    std::chrono::milliseconds heldFor() const;
    void recordRelease();

    gateway_context &m_context;
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_work;
    std::vector<share> m_shares;
    attempt_id m_attempt;
    std::optional<time_point> m_reservedAt; ///< When the first order was sent.
    std::optional<time_point> m_usedAt;
    unsigned m_unanswered = 0; ///< Orders that an engine may still carry out.
    bool m_isReleased = false;
};

} // namespace mustardtrail::gateway

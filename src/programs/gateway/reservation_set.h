#pragma once

#include "programs/gateway/gateway_context.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace mustardtrail::gateway
{

class reservation_renewal;

/// KV cache memory that one send has reserved at several engines, all or nothing. The leases are renewed while the
/// send lasts and are short, so that the reservations of a crashed instance expire soon. The end of this object releases them.
class reservation_set
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
    ~reservation_set();
    reservation_set(const reservation_set &) = delete;
    reservation_set &operator=(const reservation_set &) = delete;

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
    std::shared_ptr<reservation_renewal> m_renewal;
};

} // namespace mustardtrail::gateway

#pragma once

#include "programs/gateway/gateway_context.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <vector>

namespace mustardtrail::gateway
{

/// Memory that one request has set aside at several engines: all of it or none, renewed while the request runs. What a
/// dead instance leaves behind ends with its short lease.
class reservation_set : public std::enable_shared_from_this<reservation_set>
{
public:
    struct share {
        server_key server = 0;
        backend_server_id id;
        endpoint address;
        std::int64_t tokens = 0;
    };

    reservation_set(gateway_context &context, boost::asio::any_io_executor executor, std::uint64_t request, std::vector<share> shares);

    /// False when an engine had no room; what the others granted is given back.
    boost::asio::awaitable<bool> acquire();
    /// Gives everything back, in the background.
    void release();
    /// Name of the reservation at the server.
    std::string nameFor(server_key server) const;

    static constexpr std::chrono::milliseconds leaseDuration{ 3'500 }; ///< Below the time after which unused memory counts as lost.
    static constexpr std::chrono::milliseconds renewalInterval{ 1'200 }; ///< Two may fail before the lease ends.

private:
    boost::asio::awaitable<bool> reserveAt(const share &at);
    boost::asio::awaitable<void> renew();
    boost::asio::awaitable<void> releaseAt(share at);

    gateway_context &m_context;
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_request;
    std::vector<share> m_shares;
    bool m_isReleased = false;
};

} // namespace mustardtrail::gateway

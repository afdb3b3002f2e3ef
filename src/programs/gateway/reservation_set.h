#pragma once

#include "programs/gateway/gateway_context.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
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
    /// Releases all reservations in the background. An acquisition that is under way returns false.
    void release();
    /// Records an event of the answer: the request uses the memory.
    void recordUse();
    /// Sets a hook that runs when memory is still without use, by the engine's report, long after it was reserved. Nothing is
    /// renewed any more then, so the send has to end. An answer that has begun is not given up.
    void onGivenUp(std::function<void()> hook);
    /// The engine that refused memory, after an acquisition that failed for it.
    std::optional<backend_server_id> refusedBy() const;
    /// Name of the reservation at this server.
    std::string nameFor(server_key server) const;

private:
    std::shared_ptr<reservation_renewal> m_renewal;
};

} // namespace mustardtrail::gateway

#pragma once

#include "base/clock.h"
#include "http/exchange.h"

#include <map>
#include <optional>
#include <string>

namespace mustardtrail::gateway::testing
{

/// The KV cache reservations of engines in a test, as the engines keep them: with a lease each, until their release.
class engine_memory
{
public:
    /// Carries out a reserve or release order, or answers a report, of an engine that begins no request.
    boost::asio::awaitable<void> serve(http::exchange &exchange);
    static bool isOrder(const http::exchange &exchange);

    /// A restarted engine knows nothing of its reservations.
    void forgetAll();
    /// A request begins to use all reservations, or has ended.
    void beginUse();
    void endUse();
    size_t heldCount() const;
    /// Reservations whose lease has run out.
    size_t lapsedCount() const;
    /// The longest time for which one reservation has been held without a break.
    std::chrono::milliseconds longestHold() const;
    /// The longest time for which one was held after its use.
    std::chrono::milliseconds longestHoldAfterUse() const;

private:
    struct reservation {
        time_point since{};
        time_point leaseEndsAt{};
        bool isUsed = false;
        std::optional<time_point> usedUntil;
    };
    void noteHold(const reservation &held);
    std::chrono::milliseconds holdAfterUse(const reservation &held) const;

    system_monotonic_clock m_clock;
    std::map<std::string, reservation> m_reservations;
    size_t m_lapsed = 0; ///< Without those that are still in the ledger.
    std::chrono::milliseconds m_longestEnded{ 0 };
    std::chrono::milliseconds m_longestEndedAfterUse{ 0 };
};

} // namespace mustardtrail::gateway::testing

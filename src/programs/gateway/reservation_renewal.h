#pragma once

#include "gateway/lease_schedule.h"
#include "programs/gateway/monotonic_timer.h"
#include "programs/gateway/reservation_set.h"

#include <map>
#include <optional>

namespace mustardtrail::gateway
{

/// The orders of a reservation_set to the engines. Lives on while an order is under way; renews nothing after the release.
class reservation_renewal : public std::enable_shared_from_this<reservation_renewal>
{
public:
    using share = reservation_set::share;

    reservation_renewal(
        gateway_context &context, boost::asio::any_io_executor executor, std::uint64_t work, std::vector<share> shares, attempt_id attempt);

    boost::asio::awaitable<bool> acquire();
    void release();
    void recordUse();
    void onGivenUp(std::function<void()> hook);
    std::optional<backend_server_id> refusedBy() const;
    std::string nameFor(server_key server) const;

private:
    boost::asio::awaitable<bool> reserveAll();
    /// Ends the acquisition with this result, unless it has ended.
    void settle(bool isGranted);
    boost::asio::awaitable<renewal_outcome> reserveAt(const share &target);
    /// Renews the lease at one engine until the release, or until that engine has started again.
    boost::asio::awaitable<void> keepRenewed(share target, lease_schedule schedule);
    boost::asio::awaitable<renewal_outcome> renewAt(const share &target, renewal_order order, lease_schedule &schedule);
    /// Before the first event only the engine can tell whether the run goes on.
    boost::asio::awaitable<void> watchUse(const share &target, lease_schedule &schedule);
    boost::asio::awaitable<renewal_outcome> renewIfUsedAgain(const share &target, lease_schedule &schedule);
    /// Asks for the use after an unproven renewal.
    boost::asio::awaitable<renewal_outcome> releaseUnlessUsed(const share &target);
    /// The memory at this engine is gone with its former start.
    void forget(const share &target);
    boost::asio::awaitable<memory_use> askForUse(const share &target);
    void recordSkip(const share &target, memory_use use);
    void giveUp(const share &target);
    boost::asio::awaitable<void> releaseAt(share target);
    boost::asio::awaitable<void> orderRelease(const share &target);
    /// Identifies the running start of the engine; 0 while it is not listed.
    server_start_key startOf(const share &target) const;
    bool hasRestarted(const share &target) const;
    std::chrono::milliseconds heldFor() const;
    void recordRelease();

    gateway_context &m_context;
    boost::asio::any_io_executor m_executor;
    std::uint64_t m_work;
    std::vector<share> m_shares;
    std::map<server_key, server_start_key> m_starts; ///< Of the engines, when the memory was reserved.
    std::map<server_key, lease_schedule> m_schedules; ///< From the first grants on.
    attempt_id m_attempt;
    std::optional<reservation_age> m_age; ///< From the first order on.
    std::optional<time_point> m_usedAt;
    std::function<void()> m_onGivenUp;
    monotonic_timer m_settled; ///< Cancelled when the acquisition ends.
    std::optional<bool> m_isGranted; ///< Result of the acquisition.
    std::optional<backend_server_id> m_refusedBy; ///< Ended the acquisition.
    unsigned m_unanswered = 0; ///< Orders that an engine may still carry out.
    bool m_isReleased = false;
};

} // namespace mustardtrail::gateway

#pragma once

#include "base/clock.h"
#include "gateway/customer_prefill.h"
#include "gateway/peer_address.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// Prefill time that the engines spent on each customer's prompts lately, and the customers that had more than their share.
/// Guards against a burst from one customer that degrades service for the others.
class customer_use
{
public:
    /// Records prefill that this instance sent to engines. Nothing is counted without a customer.
    void record(customer_key customer, std::chrono::microseconds prefill, time_point now);
    /// Replaces what another instance told. Returns a description of each damaged figure; these are ignored.
    std::vector<std::string> replacePeerUse(peer_address peer, const std::vector<customer_prefill> &use, time_point now);
    /// Returns the customers with the largest use by this instance, for the others.
    std::vector<customer_prefill> largest(time_point now) const;
    /// Prefill time of all known instances by customer within the window.
    prefill_by_customer total(time_point now) const;
    /// Determines which of the customers whose prompts wait are over their share. `waiting`: prefill time that waits here.
    const std::set<customer_key> &updateShares(const prefill_by_customer &waiting, time_point now);
    /// As of the last updateShares.
    bool isOverShare(customer_key customer) const;
    void expire(time_point now);

    static constexpr std::chrono::milliseconds window{ 4'000 };
    static constexpr std::chrono::milliseconds peerExpiry{ 2'500 }; ///< Of an instance's figures after its last report.
    static constexpr size_t maxReported = 8; ///< Customers in one report.
    static constexpr std::chrono::milliseconds maxReportedPrefill{ 4'000'000 }; ///< The window at a thousand engines.

private:
    struct sent_prefill {
        time_point at{};
        std::chrono::microseconds prefill{ 0 };
    };
    struct peer_use {
        prefill_by_customer use;
        time_point receivedAt{};
    };

    prefill_by_customer own(time_point now) const;

    std::map<customer_key, std::deque<sent_prefill>> m_own;
    std::map<peer_address, peer_use> m_peers;
    std::set<customer_key> m_overShare;
};

/// Returns the level up to which all demands are met when `capacity` is divided by max-min fairness; nullopt when it meets all.
std::optional<std::chrono::microseconds> maxMinLevel(const prefill_by_customer &demand, std::chrono::microseconds capacity);

} // namespace mustardtrail::gateway

#pragma once

#include "gateway/peer_address.h"
#include "gateway/second_send_ask.h"
#include "gateway/second_send_loan.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardtrail::gateway
{

/// What this instance borrows of the others' shares of the second sends. A loan may be used until `lifetime` after the ask that it
/// answers, by this instance's clock. The lender has made it later, so it need not know how long its answer took.
class second_send_loans
{
public:
    /// A send of the service waits for a loan, until stopWaiting.
    void startWaiting(service_key service);
    void stopWaiting(service_key service);
    /// Whether the next report to the cell should hold an ask.
    bool isAskDue(time_point now);
    /// Returns what to ask of each of the `lenders`. Each ask is sent once: a lender answers each one that it receives.
    std::vector<second_send_ask> takeAsks(size_t lenders, time_point now);
    /// Returns false for a loan that may not be used: it answers no ask of the last `lifetime`, or is more than was asked.
    bool record(peer_address lender, const second_send_loan &loan, time_point now);
    /// Uses a whole send. Returns the number of an ask that it is given back to.
    std::optional<std::uint32_t> tryTake(service_key service, time_point now);
    void giveBack(service_key service, std::uint32_t ask, time_point now);

    static constexpr std::chrono::milliseconds lifetime{ 1'000 };
    static constexpr std::chrono::milliseconds askInterval{ 50 }; ///< Many round trips within a region.
    static constexpr std::chrono::milliseconds answerTime{
        150
    }; ///< After it an ask that a lender has not answered counts as lost or denied.
    static constexpr std::chrono::milliseconds maxWait{ 450 }; ///< Of a send for its loan; by then the periodic reports have come too.
    static constexpr std::chrono::milliseconds checkInterval{ 10 }; ///< While a send waits.
    static constexpr std::uint32_t wholeSend = 1'000;

private:
    struct open_ask {
        time_point askedAt;
        std::uint32_t milliSends = 0; ///< Of each lender.
        std::uint64_t asked = 0; ///< Of all lenders together.
        std::set<peer_address> lenders; ///< That have answered.
        std::uint64_t unused = 0;
    };

    struct service_loans {
        unsigned waiting = 0;
        std::optional<time_point> lastAskAt;
        std::map<std::uint32_t, open_ask> asks; ///< Oldest first.
    };

    static void dropExpired(service_loans &loans, time_point now);
    static std::uint64_t missing(service_loans &loans, time_point now);

    std::map<service_key, service_loans> m_services;
    std::uint32_t m_lastAsk = 0;
};

} // namespace mustardtrail::gateway

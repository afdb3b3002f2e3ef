#include "gateway/fleet_state.h"

#include <algorithm>

namespace mustardtrail::gateway
{

std::vector<second_send_loan> fleet_state::lendSecondSends(
    const std::vector<second_send_ask> &asks, std::uint64_t borrower, const instance_id &source, time_point now)
{
    std::vector<second_send_loan> loans;
    size_t ignored = 0;
    for (const second_send_ask &ask : asks) {
        if (!routes || !routes->isService(ask.service)) {
            ++ignored;
        } else if (const auto loan = resends.lend(ask, borrower, peers.largestFleetSize(), now)) {
            loans.push_back(*loan);
        }
    }
    if (ignored > 0) {
        m_log("second_send_asks_ignored", source.str(), "entries=" + std::to_string(ignored) + " why=unknown_service");
    }
    return loans;
}

void fleet_state::recordSecondSendLoans(
    peer_address lender, const instance_id &source, std::uint64_t self, const std::vector<second_send_loan> &loans, time_point now)
{
    const auto ignored = std::count_if(loans.begin(), loans.end(), [&](const second_send_loan &loan) {
        return loan.borrower != self || !resends.borrowed().record(lender, loan, now);
    });
    if (ignored > 0) {
        m_log("second_send_loans_ignored", source.str(), "entries=" + std::to_string(ignored) + " why=no_such_ask");
    }
}

} // namespace mustardtrail::gateway

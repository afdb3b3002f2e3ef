#pragma once

#include "gateway/second_send_ask.h"
#include "gateway/second_send_loan.h"

#include <vector>

namespace mustardtrail::gateway
{

namespace wire
{
class Report;
}

void writeSecondSendAsks(const std::vector<second_send_ask> &asks, wire::Report &target);
std::vector<second_send_ask> readSecondSendAsks(const wire::Report &source);

void writeSecondSendLoans(const std::vector<second_send_loan> &loans, wire::Report &target);
/// Reads all entries; second_send_loans::record rejects those that cannot be used.
std::vector<second_send_loan> readSecondSendLoans(const wire::Report &source);

} // namespace mustardtrail::gateway

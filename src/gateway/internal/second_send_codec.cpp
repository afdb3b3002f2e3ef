#include "gateway/internal/second_send_codec.h"

#include "load_report.pb.h"

namespace mustardtrail::gateway
{

void writeSecondSendAsks(const std::vector<second_send_ask> &asks, wire::Report &target)
{
    for (const second_send_ask &each : asks) {
        wire::SecondSendAsk &entry = *target.add_second_send_asks();
        entry.set_service(each.service);
        entry.set_number(each.number);
        entry.set_milli_sends(each.milliSends);
    }
}

std::vector<second_send_ask> readSecondSendAsks(const wire::Report &source)
{
    std::vector<second_send_ask> asks;
    for (const wire::SecondSendAsk &each : source.second_send_asks()) {
        asks.push_back({ each.service(), each.number(), each.milli_sends() });
    }
    return asks;
}

void writeSecondSendLoans(const std::vector<second_send_loan> &loans, wire::Report &target)
{
    for (const second_send_loan &each : loans) {
        wire::SecondSendLoan &entry = *target.add_second_send_loans();
        entry.set_service(each.service);
        entry.set_borrower(each.borrower);
        entry.set_ask(each.ask);
        entry.set_milli_sends(each.milliSends);
    }
}

std::vector<second_send_loan> readSecondSendLoans(const wire::Report &source)
{
    std::vector<second_send_loan> loans;
    for (const wire::SecondSendLoan &each : source.second_send_loans()) {
        loans.push_back({ each.service(), each.borrower(), each.ask(), each.milli_sends() });
    }
    return loans;
}

} // namespace mustardtrail::gateway

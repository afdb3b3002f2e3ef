#include "gateway/second_send_loans.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace mustardtrail::gateway
{

void second_send_loans::dropExpired(service_loans &loans, time_point now)
{
    std::erase_if(loans.asks, [now](const auto &each) {
        return now - each.second.askedAt >= lifetime;
    });
}

std::uint64_t second_send_loans::missing(service_loans &loans, time_point now)
{
    dropExpired(loans, now);
    // A lender books what it lends for a window, used or not, so what may still be answered is not asked for again.
    const std::uint64_t unused
        = std::accumulate(loans.asks.begin(), loans.asks.end(), std::uint64_t{ 0 }, [now](auto sum, const auto &each) {
              const open_ask &ask = each.second;
              const std::uint64_t answered = std::uint64_t{ ask.milliSends } * ask.lenders.size();
              const bool isOpen = now - ask.askedAt < answerTime;
              return sum + ask.unused + (isOpen ? ask.asked - std::min(ask.asked, answered) : 0);
          });
    const std::uint64_t needed = std::uint64_t{ loans.waiting } * wholeSend;
    const bool mayAsk = !loans.lastAskAt || now - *loans.lastAskAt >= askInterval;
    return mayAsk && needed > unused ? needed - unused : 0;
}

void second_send_loans::startWaiting(service_key service)
{
    ++m_services[service].waiting;
}

void second_send_loans::stopWaiting(service_key service)
{
    --m_services[service].waiting;
}

bool second_send_loans::isAskDue(time_point now)
{
    return std::any_of(m_services.begin(), m_services.end(), [now](auto &each) {
        return missing(each.second, now) > 0;
    });
}

std::vector<second_send_ask> second_send_loans::takeAsks(size_t lenders, time_point now)
{
    std::vector<second_send_ask> asks;
    for (auto &[service, loans] : m_services) {
        const std::uint64_t needed = missing(loans, now);
        if (needed == 0 || lenders == 0) {
            continue;
        }
        const std::uint64_t ofEach = std::min<std::uint64_t>((needed + lenders - 1) / lenders, std::numeric_limits<std::uint32_t>::max());
        const second_send_ask ask{ service, ++m_lastAsk, static_cast<std::uint32_t>(ofEach) };
        loans.lastAskAt = now;
        loans.asks[ask.number] = { now, ask.milliSends, ofEach * lenders, {}, 0 };
        asks.push_back(ask);
    }
    return asks;
}

bool second_send_loans::record(peer_address lender, const second_send_loan &loan, time_point now)
{
    const auto service = m_services.find(loan.service);
    if (service == m_services.end()) {
        return false;
    }
    dropExpired(service->second, now);
    const auto ask = service->second.asks.find(loan.ask);
    if (ask == service->second.asks.end() || loan.milliSends > ask->second.milliSends || !ask->second.lenders.insert(lender).second) {
        return false;
    }
    ask->second.unused += loan.milliSends;
    return true;
}

std::optional<std::uint32_t> second_send_loans::tryTake(service_key service, time_point now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return std::nullopt;
    }
    dropExpired(found->second, now);
    auto &asks = found->second.asks;
    std::uint64_t unused = 0;
    auto last = asks.begin();
    while (last != asks.end() && unused < wholeSend) {
        unused += last->second.unused;
        ++last;
    }
    if (unused < wholeSend) {
        return std::nullopt;
    }
    std::uint64_t taken = 0;
    for (auto each = asks.begin(); each != last; ++each) {
        const std::uint64_t part = std::min(wholeSend - taken, each->second.unused);
        each->second.unused -= part;
        taken += part;
    }
    return asks.begin()->first;
}

// Its parts may be of several asks: given back to the oldest, none can be used for longer than it was lent.
void second_send_loans::giveBack(service_key service, std::uint32_t ask, time_point now)
{
    service_loans &loans = m_services[service];
    dropExpired(loans, now);
    if (const auto found = loans.asks.find(ask); found != loans.asks.end()) {
        found->second.unused += wholeSend;
    }
}

} // namespace mustardtrail::gateway

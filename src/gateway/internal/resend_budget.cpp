#include "gateway/resend_budget.h"

#include "gateway/route_table.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mustardtrail::gateway
{

namespace
{

constexpr double refusedShare = 0.5; // The rest is kept for streams that break in a burst, as in a network partition.
constexpr double silentShare = 0.75; // The rest is kept for streams whose server is lost.
constexpr double copyShare = 0.5; // The rest is kept for resends: without a resend a request fails, without a copy it is only slow.
constexpr double lendShare = 0.5; // The rest is always this instance's own.
constexpr double deviations = 3.0; // Standard deviations by which the number of requests in a window may fall.
constexpr std::chrono::milliseconds discoveryTime{ 2'000 }; // Enough for a few reports of the other instances.
constexpr double safetyFactor = 0.8; // The counting windows of the instances are not aligned.
constexpr double restartShare = 1.0 / safetyFactor - 1.0; // What is left if all had used their share before a restart.

double roomFor(resend_budget::cause why, double room)
{
    switch (why) {
    case resend_budget::cause::refused:
        return refusedShare * room;
    case resend_budget::cause::silent:
        return std::max(silentShare * room, std::min(room, 1.0)); // A small share has room for one.
    default:
        return room;
    }
}

} // namespace

resend_budget::resend_budget(resend_limits limits, time_point slackFrom)
    : m_limits(limits)
    , m_slackFrom(slackFrom)
{
}

time_point resend_budget::slackAfterRestart(const resend_limits &limits, time_point now)
{
    return now + limits.window + second_send_loans::lifetime;
}

void resend_budget::dropExpired(service_window &window, time_point now) const
{
    for (auto *times : { &window.requests, &window.resends, &window.copies }) {
        while (!times->empty() && now - times->front() > m_limits.window) {
            times->pop_front();
        }
    }
    while (!window.lent.empty() && now > window.lent.front().until) {
        window.lent.pop_front();
    }
}

void resend_budget::countRequest(const service_id &service, time_point now)
{
    service_window &window = m_services[keyOf(service)];
    dropExpired(window, now);
    window.requests.push_back(now);
}

double resend_budget::slackShare(time_point now, size_t instances) const
{
    const double share = m_limits.slack / static_cast<double>(std::max<size_t>(instances, 1));
    if (now >= m_slackFrom) {
        return share;
    }
    const bool hasDiscoveredPeers = now >= m_slackFrom - m_limits.window + discoveryTime;
    return hasDiscoveredPeers ? share * restartShare : 0.0;
}

double resend_budget::shareFor(double requests, time_point now, size_t instances) const
{
    return safetyFactor * (m_limits.ratio * requests + slackShare(now, instances));
}

double resend_budget::lentSends(const service_window &window)
{
    return std::accumulate(window.lent.begin(), window.lent.end(), 0.0, [](double sum, const lent_part &each) {
        return sum + each.sends;
    });
}

bool resend_budget::hasRoom(const service_id &service, cause why, time_point now, size_t instances)
{
    service_window &window = m_services[keyOf(service)];
    dropExpired(window, now);
    const auto requests = static_cast<double>(window.requests.size());
    const auto resends = static_cast<double>(window.resends.size());
    const double copiesAndLent = static_cast<double>(window.copies.size()) + lentSends(window);
    if (why == cause::copy) {
        // An instance that counts 15 requests may count half as many while the copy still counts, and resends would be denied for it.
        const double surely = std::max(requests - deviations * std::sqrt(requests), 0.0);
        return resends + copiesAndLent + 1.0 <= copyShare * shareFor(surely, now, instances);
    }
    return resends + 1.0 <= roomFor(why, shareFor(requests, now, instances) - copiesAndLent);
}

std::optional<resend_budget::ticket> resend_budget::tryTake(const service_id &service, cause why, time_point now, size_t instances)
{
    ticket taken{ keyOf(service), why, now, std::nullopt };
    if (hasRoom(service, why, now, instances)) {
        service_window &window = m_services[taken.service];
        (why == cause::copy ? window.copies : window.resends).push_back(now);
        return taken;
    }
    if (why == cause::interrupted) {
        taken.borrowed = m_borrowed.tryTake(taken.service, now);
    }
    return taken.borrowed ? std::optional(taken) : std::nullopt;
}

void resend_budget::giveBack(const ticket &taken, time_point now)
{
    if (taken.borrowed) {
        m_borrowed.giveBack(taken.service, *taken.borrowed, now);
        return;
    }
    service_window &window = m_services[taken.service];
    auto &times = taken.why == cause::copy ? window.copies : window.resends;
    if (const auto found = std::find(times.begin(), times.end(), taken.takenAt); found != times.end()) {
        times.erase(found);
    }
}

std::optional<second_send_loan> resend_budget::lend(const second_send_ask &ask, std::uint64_t borrower, size_t instances, time_point now)
{
    if (now < m_slackFrom) {
        return std::nullopt; // Loans made before a restart are not known.
    }
    service_window &window = m_services[ask.service];
    dropExpired(window, now);
    const double share = shareFor(static_cast<double>(window.requests.size()), now, instances);
    const double used = static_cast<double>(window.resends.size() + window.copies.size()) + lentSends(window);
    const double free = std::floor((lendShare * share - used) * second_send_loans::wholeSend);
    const double lent = std::min<double>(ask.milliSends, free);
    if (lent < 1.0) {
        return std::nullopt;
    }
    window.lent.push_back({ now + second_send_loans::lifetime + m_limits.window, lent / second_send_loans::wholeSend });
    return second_send_loan{ ask.service, borrower, ask.number, static_cast<std::uint32_t>(lent) };
}

second_send_loans &resend_budget::borrowed()
{
    return m_borrowed;
}

} // namespace mustardtrail::gateway

#include "programs/gateway/reservation_renewal.h"

#include "platform/engine_report.h"
#include "platform/reservation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds callTimeout{ 300 }; ///< A healthy engine answers these calls within milliseconds.
constexpr int maxReleaseAttempts = 4; ///< By the end of these attempts the lease is about to expire anyway.

std::string_view nameOf(memory_use use)
{
    switch (use) {
    case memory_use::unknown:
        return "unknown";
    case memory_use::gone:
        return "gone";
    case memory_use::unused:
        return "unused";
    case memory_use::used:
        break;
    }
    return "used";
}

} // namespace

reservation_renewal::reservation_renewal(
    gateway_context &context, asio::any_io_executor executor, std::uint64_t work, std::vector<share> shares, attempt_id attempt)
    : m_context(context)
    , m_executor(std::move(executor))
    , m_work(work)
    , m_shares(std::move(shares))
    , m_attempt(std::move(attempt))
    , m_settled(m_executor, time_point::max())
{
}

std::string reservation_renewal::nameFor(server_key server) const
{
    return "mt" + std::to_string(m_work) + "-" + std::to_string(server);
}

std::optional<backend_server_id> reservation_renewal::refusedBy() const
{
    return m_refusedBy;
}

milliseconds reservation_renewal::heldFor() const
{
    const time_point now = m_context.clock.now();
    return m_age ? std::chrono::duration_cast<milliseconds>(now - m_age->reservedAt) : milliseconds(0);
}

void reservation_renewal::recordUse()
{
    const time_point now = m_context.clock.now();
    m_usedAt = m_usedAt.value_or(now);
    if (m_age) {
        m_age->lastEventAt = now;
    }
}

void reservation_renewal::onGivenUp(std::function<void()> hook)
{
    m_onGivenUp = std::move(hook);
}

void reservation_renewal::recordRelease()
{
    if (!m_age) {
        return;
    }
    std::int64_t tokens = 0;
    for (const share &each : m_shares) {
        tokens += each.tokens;
    }
    m_context.metrics.recordUnusedReservation(m_usedAt.value_or(m_context.clock.now()) - m_age->reservedAt);
    m_context.log.write(log_line("reservation_released")
                            .add("request", m_attempt.str())
                            .add("work", std::to_string(m_work))
                            .add("servers", static_cast<std::int64_t>(m_shares.size()))
                            .add("tokens", tokens)
                            .add("held", heldFor())
                            .add("used", m_usedAt ? "yes" : "no")
                            .add("unanswered", m_unanswered));
}

server_start_key reservation_renewal::startOf(const share &target) const
{
    const auto *server = m_context.state.findServer(target.server);
    return server ? startKeyOf(server->entry) : 0;
}

bool reservation_renewal::hasRestarted(const share &target) const
{
    const auto granted = m_starts.find(target.server);
    const server_start_key start = startOf(target);
    return granted != m_starts.end() && start != 0 && start != granted->second;
}

asio::awaitable<renewal_outcome> reservation_renewal::reserveAt(const share &target)
{
    const time_point sentAt = m_context.clock.now();
    const auto limits = http::call_limits::within(callTimeout);
    auto message = platform::reserveRequest(target.id, nameFor(target.server), target.tokens, m_context.reservations.lease);
    const auto answer = co_await m_context.servers.call(target.address, std::move(message), limits, m_attempt);
    const int status = answer ? answer->status : 0;
    m_unanswered += answer ? 0 : 1;
    const auto failure = answer ? std::nullopt : std::optional(answer.error().code);
    m_context.state.unansweredOrders.record(target.server, failure, sentAt, callTimeout, m_context.clock.now());
    if (m_isReleased) {
        // The engine may have received the release first.
        asio::co_spawn(m_executor, releaseAt(target), asio::detached);
        co_return renewal_outcome::refused;
    }
    if (status == 200) {
        co_return renewal_outcome::granted;
    }
    m_context.log.write(log_line("reservation_refused")
                            .add("request", m_attempt.str())
                            .add("name", nameFor(target.server))
                            .add("server", target.id.str())
                            .add("tokens", target.tokens)
                            .add("held", heldFor())
                            .add("status", status));
    co_return answer ? renewal_outcome::refused : renewal_outcome::unanswered;
}

asio::awaitable<bool> reservation_renewal::acquire()
{
    const auto self = shared_from_this();
    m_age = reservation_age{ m_context.clock.now(), std::nullopt };
    for (const share &each : m_shares) {
        if (const server_start_key start = startOf(each); start != 0) {
            m_starts[each.server] = start;
        }
    }
    // The orders run beside this call, since an attempt to connect to an engine cannot be ended before its time-out.
    asio::co_spawn(m_executor, reserveAll(), [self](std::exception_ptr failure, bool isGranted) {
        self->settle(isGranted && !failure);
    });
    while (!m_isGranted) {
        boost::system::error_code cancelled;
        co_await m_settled.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    if (!*m_isGranted || m_isReleased) {
        release();
        co_return false;
    }
    // Beside each other: one after the other, silent engines would hold up the renewals at the rest until leases expire.
    const std::vector<share> targets = m_shares; // A renewal takes its engine out when that has started again.
    for (const share &each : targets) {
        asio::co_spawn(m_executor, keepRenewed(each, m_schedules.at(each.server)), asio::detached);
    }
    co_return !m_isReleased;
}

asio::awaitable<bool> reservation_renewal::reserveAll()
{
    const auto self = shared_from_this();
    for (const share &each : m_shares) {
        const time_point sentAt = m_context.clock.now();
        if (m_isReleased) {
            co_return false;
        }
        const renewal_outcome outcome = co_await reserveAt(each);
        if (outcome == renewal_outcome::refused) {
            m_refusedBy = each.id;
        }
        if (outcome != renewal_outcome::granted) {
            co_return false;
        }
        m_schedules.emplace(each.server, lease_schedule(m_context.reservations, sentAt));
    }
    co_return true;
}

void reservation_renewal::settle(bool isGranted)
{
    m_isGranted = m_isGranted.value_or(isGranted);
    m_settled.cancel();
}

asio::awaitable<void> reservation_renewal::keepRenewed(share target, lease_schedule schedule)
{
    const auto self = shared_from_this();
    monotonic_timer timer(m_executor);
    while (true) {
        if (schedule.nextAt() > m_context.clock.now()) { // A turn of a late event loop would hold up an order that is due.
            timer.expires_at(schedule.nextAt());
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (m_isReleased) {
            co_return;
        }
        if (hasRestarted(target)) {
            // A renewal would reserve the memory anew, for nobody.
            forget(target);
            co_return;
        }
        const time_point startedAt = m_context.clock.now();
        const renewal_order order = schedule.orderAt(*m_age, startedAt);
        const renewal_outcome outcome = co_await renewAt(target, order, schedule);
        schedule.record(outcome, startedAt);
        if (outcome == renewal_outcome::granted && order == renewal_order::renew) {
            co_await watchUse(target, schedule);
        }
    }
}

asio::awaitable<void> reservation_renewal::watchUse(const share &target, lease_schedule &schedule)
{
    if (!m_age->lastEventAt && !m_isReleased) {
        schedule.recordUse(co_await askForUse(target));
    }
}

asio::awaitable<renewal_outcome> reservation_renewal::renewIfUsedAgain(const share &target, lease_schedule &schedule)
{
    const memory_use use = co_await askForUse(target);
    schedule.recordUse(use);
    if (m_isReleased || use == memory_use::unknown) {
        co_return renewal_outcome::unanswered;
    }
    if (use != memory_use::used) {
        recordSkip(target, use);
        co_return renewal_outcome::refused;
    }
    co_return co_await reserveAt(target);
}

void reservation_renewal::forget(const share &target)
{
    m_context.log.write(log_line("reservation_lost")
                            .add("request", m_attempt.str())
                            .add("name", nameFor(target.server))
                            .add("server", target.id.str())
                            .add("held", heldFor()));
    std::erase_if(m_shares, [&](const share &each) {
        return each.server == target.server;
    });
}

asio::awaitable<renewal_outcome> reservation_renewal::renewAt(const share &target, renewal_order order, lease_schedule &schedule)
{
    if (order == renewal_order::ask_whether_used) {
        co_return co_await renewIfUsedAgain(target, schedule);
    }
    if (order == renewal_order::ask_first) {
        const memory_use use = co_await askForUse(target);
        const renewal_step step = renewalStep(use, *m_age);
        if (step == renewal_step::give_up) {
            giveUp(target);
        } else if (step == renewal_step::skip && !m_isReleased) {
            recordSkip(target, use);
        }
        if (step != renewal_step::renew || m_isReleased) {
            co_return use == memory_use::unknown ? renewal_outcome::unanswered : renewal_outcome::refused;
        }
    }
    const renewal_outcome outcome = co_await reserveAt(target);
    if (order == renewal_order::renew_first && outcome == renewal_outcome::granted) {
        co_return co_await releaseUnlessUsed(target);
    }
    co_return outcome;
}

asio::awaitable<renewal_outcome> reservation_renewal::releaseUnlessUsed(const share &target)
{
    const time_point askedAt = m_context.clock.now();
    const memory_use use = co_await askForUse(target);
    const bool isUsed = renewalStep(use, *m_age) == renewal_step::renew || m_age->lastEventAt >= askedAt;
    if (!isUsed && !m_isReleased) {
        recordSkip(target, use);
        co_await releaseAt(target);
    }
    co_return isUsed ? renewal_outcome::granted : renewal_outcome::refused;
}

asio::awaitable<memory_use> reservation_renewal::askForUse(const share &target)
{
    const auto limits = http::call_limits::within(callTimeout);
    auto message = platform::engineReportRequest(target.id);
    const server_start_key start = startOf(target);
    const auto answer = co_await m_context.servers.call(target.address, std::move(message), limits, m_attempt);
    if (!answer) {
        co_return memory_use::unknown;
    }
    if (const auto pace = platform::readPace(*answer)) {
        m_context.state.recordPace(target.server, start, *pace, m_context.clock.now());
    }
    co_return platform::readMemoryUse(*answer, nameFor(target.server));
}

void reservation_renewal::recordSkip(const share &target, memory_use use)
{
    m_context.log.write(log_line("reservation_not_renewed")
                            .add("request", m_attempt.str())
                            .add("name", nameFor(target.server))
                            .add("server", target.id.str())
                            .add("held", heldFor())
                            .add("reported", nameOf(use))
                            .add("used", m_usedAt ? "yes" : "no"));
}

void reservation_renewal::giveUp(const share &target)
{
    if (m_isReleased) {
        return;
    }
    m_context.log.write(log_line("reservation_given_up")
                            .add("request", m_attempt.str())
                            .add("name", nameFor(target.server))
                            .add("server", target.id.str())
                            .add("held", heldFor()));
    release();
    if (const auto hook = std::exchange(m_onGivenUp, nullptr)) {
        hook();
    }
}

void reservation_renewal::release()
{
    if (m_isReleased) {
        return;
    }
    m_isReleased = true;
    settle(false);
    recordRelease();
    for (const share &each : m_shares) {
        asio::co_spawn(m_executor, releaseAt(each), asio::detached);
    }
}

asio::awaitable<void> reservation_renewal::releaseAt(share target)
{
    const auto self = shared_from_this();
    ++m_context.runningReleases;
    co_await orderRelease(target);
    --m_context.runningReleases;
}

asio::awaitable<void> reservation_renewal::orderRelease(const share &target)
{
    monotonic_timer timer(m_executor);
    for (int attempt = 0; attempt < maxReleaseAttempts; ++attempt) {
        const auto limits = http::call_limits::within(callTimeout);
        auto message = platform::releaseRequest(nameFor(target.server));
        const auto answer = co_await m_context.servers.call(target.address, std::move(message), limits, m_attempt);
        if (answer) {
            co_return;
        }
        timer.expires_after(callTimeout);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_context.log.write(log_line("reservation_not_released").add("name", nameFor(target.server)).add("server", target.id.str()));
}

} // namespace mustardtrail::gateway

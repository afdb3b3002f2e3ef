#include "programs/gateway/peer_link.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;

namespace
{

constexpr size_t maxDatagramBytes = 60'000; ///< Largest UDP datagram without its headers.

} // namespace

peer_address peerAddressOf(const std::string &ip)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address_v4(ip, failure);
    return failure ? 0 : address.to_uint();
}

peer_link::peer_link(asio::any_io_executor executor,
    gateway_context &context,
    instance_id self,
    data_centre_id dataCentre,
    endpoint address,
    std::int64_t linkBitsPerSecond,
    relay_handler relayHandler)
    : m_context(context)
    , m_dataCentre(std::move(dataCentre))
    , m_address(std::move(address))
    , m_peerAddress(peerAddressOf(m_address.address))
    , m_incarnation(context.random.below(~std::uint64_t{ 0 }))
    , m_exchange(context.state, { std::move(self), m_dataCentre, m_peerAddress, m_incarnation }, context.clock.now())
    , m_socket(executor)
    , m_reportTimer(executor)
    , m_pace(linkBitsPerSecond)
    , m_onRelay(std::move(relayHandler))
{
}

result<void> peer_link::open()
{
    boost::system::error_code failure;
    const asio::ip::udp::endpoint local(asio::ip::make_address(m_address.address, failure), m_address.port);
    if (!failure) {
        m_socket.open(local.protocol(), failure);
    }
    if (!failure) {
        m_socket.bind(local, failure);
    }
    if (!failure) {
        m_socket.non_blocking(true, failure);
    }
    if (failure) {
        return tl::unexpected(
            error{ error_code::settings_out_of_range, verdict::not_run, "listen " + toString(m_address) + ": " + failure.message(), {} });
    }
    return {};
}

asio::awaitable<void> peer_link::receiveReports()
{
    std::string buffer(maxDatagramBytes, '\0');
    asio::ip::udp::endpoint sender;
    while (true) {
        boost::system::error_code failure;
        co_await m_socket.async_wait(asio::ip::udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted) {
            co_return;
        }
        // All datagrams that have arrived are read at one wake-up.
        while (!failure) {
            const size_t count = m_socket.receive_from(asio::buffer(buffer), sender, 0, failure);
            if (!failure) {
                onReport(buffer.substr(0, count));
            }
        }
    }
}

void peer_link::onReport(const std::string &bytes)
{
    const time_point now = m_context.clock.now();
    const auto report = decodeLoadReport(bytes, now);
    if (!report) {
        m_context.log.write(log_line("peer_report_unreadable").add("detail", report.error().detail));
        return;
    }
    report_exchange::reception received = m_exchange.onReport(*report, now);
    if (!received.isNew) {
        return;
    }
    if (report->isStorePositionDamaged) {
        m_context.log.write(log_line("store_position_ignored").add("subject", report->sender.str()));
    }
    m_context.noteStoreEra(report->storePosition.era);
    onRelay(*report);
    sendMissingChanges(*report);
    sendAll(std::move(received.replies));
}

void peer_link::onRelay(const load_report &report)
{
    if (!report.relay) {
        return;
    }
    std::optional<time_point> queriedAfter;
    for (const clock_echo &echo : report.relay->echoes) {
        if (echo.address == m_peerAddress && echo.incarnation == m_incarnation) {
            queriedAfter = time_point(echo.clock);
        }
    }
    m_onRelay(report.address, *report.relay, queriedAfter);
}

void peer_link::sendMissingChanges(const load_report &report)
{
    const store_position own = m_context.storePosition();
    const bool isComparable = report.storePosition.era == own.era && report.storePosition.revision != 0;
    if (report.dataCentre != m_dataCentre || !isComparable || report.storePosition.revision >= own.revision) {
        return;
    }
    const time_point now = m_context.clock.now();
    std::vector<outgoing_report> messages;
    for (store_relay &missing : m_relayHistory.missedRelaysFor(report.address, report.storePosition.revision, now)) {
        messages.push_back({ m_exchange.reportTo(report.address, now), { report.address } });
        messages.back().report.relay = std::move(missing);
    }
    sendAll(std::move(messages));
}

void peer_link::requestMissingChanges(peer_address from)
{
    sendAll({ { m_exchange.reportTo(from, m_context.clock.now()), { from } } });
}

void peer_link::relay(store_relay changes)
{
    m_relayHistory.add(changes, m_context.clock.now());
    sendRelay(changes);
    m_lastRelay = std::move(changes);
}

void peer_link::sendRelay(const store_relay &relay)
{
    const time_point now = m_context.clock.now();
    const auto targets = m_context.state.peers.storeRelayTargets(now);
    if (targets.empty()) {
        return;
    }
    outgoing_report message{ m_exchange.reportTo(targets.front(), now), targets };
    message.report.relay = relay;
    sendAll({ std::move(message) });
}

void peer_link::scheduleReport()
{
    if (m_hasUnreportedChange) {
        return;
    }
    m_hasUnreportedChange = true;
    m_reportTimer.expires_after(reportDelay);
}

asio::awaitable<void> peer_link::reportPeriodically()
{
    while (true) {
        const time_point now = m_context.clock.now();
        m_reportTimer.expires_at(m_hasUnreportedChange ? std::max(now + reportDelay, m_pace.nextAt()) : m_exchange.nextDueAt());
        boost::system::error_code failure;
        co_await m_reportTimer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        if (failure && m_hasUnreportedChange) {
            continue;
        }
        sendDueReports();
    }
}

void peer_link::sendDueReports()
{
    const time_point now = m_context.clock.now();
    if (m_hasUnreportedChange) {
        m_hasUnreportedChange = false;
        sendAll(m_exchange.reportWork(now));
    }
    if (now < m_exchange.nextDueAt()) {
        return;
    }
    sendAll(m_exchange.reportsDue(now));
    if (m_lastRelay) {
        sendRelay(*m_lastRelay);
        m_lastRelay.reset();
    }
}

void peer_link::reportLeaving()
{
    sendAll(m_exchange.reportLeaving(m_context.clock.now()));
}

void peer_link::sendAll(std::vector<outgoing_report> reports)
{
    const time_point now = m_context.clock.now();
    for (outgoing_report &each : reports) {
        each.report.storePosition = m_context.storePosition();
        const std::string bytes = encodeLoadReport(each.report, now);
        for (const peer_address target : each.targets) {
            send(bytes, target);
        }
        const size_t sent = (bytes.size() + report_pace::datagramHeader) * each.targets.size();
        m_pace.recordSent(sent, now);
        m_context.metrics.recordReports(sent);
    }
}

void peer_link::send(const std::string &bytes, peer_address target)
{
    boost::system::error_code failure;
    m_socket.send_to(asio::buffer(bytes), { asio::ip::address_v4(target), m_address.port }, 0, failure);
    if (failure && failure != asio::error::would_block) {
        m_context.log.write(
            log_line("peer_unreachable").add("peer", asio::ip::address_v4(target).to_string()).add("detail", failure.message()));
    }
}

} // namespace mustardtrail::gateway

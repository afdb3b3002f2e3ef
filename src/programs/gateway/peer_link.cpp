#include "programs/gateway/peer_link.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;

namespace
{

constexpr size_t maxDatagramBytes = 60'000; ///< Largest UDP datagram without its headers.
constexpr int relayCopies = 2; ///< The second copy is sent with the next report.

std::chrono::microseconds toMicroseconds(time_point moment)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(moment.time_since_epoch());
}

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
    relay_handler relayHandler)
    : m_context(context)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_address(std::move(address))
    , m_peerAddress(peerAddressOf(m_address.address))
    , m_incarnation(context.random.below(~std::uint64_t{ 0 }))
    , m_socket(executor)
    , m_reportTimer(executor)
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
        const size_t count
            = co_await m_socket.async_receive_from(asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted) {
            co_return;
        }
        if (!failure) {
            onReport(buffer.substr(0, count));
        }
    }
}

void peer_link::onReport(const std::string &bytes)
{
    const time_point now = m_context.clock.now();
    auto report = decodeLoadReport(bytes, now);
    if (!report) {
        m_context.log.write(log_line("peer_report_unreadable").add("detail", report.error().detail));
        return;
    }
    if (!m_context.state.peers.recordReport(*report, now)) {
        return;
    }
    onRelay(*report);
    sendMissingChanges(*report);
    m_context.state.serverSuspicion.updatePeerSuspects(report->sender, report->suspectedServers, now);
    m_context.state.loads.replacePeerWork(report->sender, std::move(report->work), now);
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
    if (report.dataCentre != m_dataCentre || report.storeRevision == 0 || report.storeRevision >= m_context.storeRevision()) {
        return;
    }
    const time_point now = m_context.clock.now();
    for (store_relay &missing : m_relayHistory.missedRelaysFor(report.address, report.storeRevision, now)) {
        load_report message = newReport(now);
        message.work = m_context.state.loads.ownWork();
        message.relay = std::move(missing);
        send(encodeLoadReport(message, now), report.address);
    }
}

void peer_link::relay(store_relay changes)
{
    m_relayHistory.add(changes, m_context.clock.now());
    m_relay = std::move(changes);
    m_relayCopiesLeft = relayCopies;
    scheduleReport();
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
        m_reportTimer.expires_after(m_hasUnreportedChange ? reportDelay : reportInterval);
        boost::system::error_code failure;
        co_await m_reportTimer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        if (failure && m_hasUnreportedChange) {
            continue;
        }
        sendReport();
    }
}

load_report peer_link::newReport(time_point now)
{
    load_report report;
    report.sender = m_self;
    report.dataCentre = m_dataCentre;
    report.address = m_peerAddress;
    report.incarnation = m_incarnation;
    report.sequence = ++m_sequence;
    report.clock = toMicroseconds(now);
    report.storeRevision = m_context.storeRevision();
    return report;
}

void peer_link::sendReport()
{
    const bool isHeartbeat = !m_hasUnreportedChange;
    m_hasUnreportedChange = false;
    const time_point now = m_context.clock.now();
    load_report report = newReport(now);
    report.isLeaving = m_context.isStopping && m_context.state.loads.ownWork().empty();
    if (isHeartbeat) {
        report.knownPeers = m_context.state.peers.alive(now);
    }
    report.suspectedServers = m_context.state.serverSuspicion.ownSuspects(now);
    report.work = m_context.state.loads.ownWork();
    const std::string bytes = encodeLoadReport(report, now);
    std::set<peer_address> relayTargets;
    if (m_relayCopiesLeft > 0) {
        --m_relayCopiesLeft;
        const auto neighbours = m_context.state.peers.sameDataCentrePeers(now);
        relayTargets.insert(neighbours.begin(), neighbours.end());
        report.relay = m_relay;
    }
    const std::string bytesWithRelay = relayTargets.empty() ? std::string() : encodeLoadReport(report, now);
    for (const peer_address target : m_context.state.peers.reportTargets()) {
        send(relayTargets.contains(target) ? bytesWithRelay : bytes, target);
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

#include "programs/gateway/peer_link.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;

namespace
{

constexpr size_t datagramBytes = 60'000; ///< Largest that UDP carries, less its headers.

} // namespace

peer_address peerAddressOf(const std::string &ip)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address_v4(ip, failure);
    return failure ? 0 : address.to_uint();
}

peer_link::peer_link(
    asio::any_io_executor executor, gateway_context &context, instance_id self, data_centre_id dataCentre, endpoint address)
    : m_context(context)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_address(std::move(address))
    , m_number(peerAddressOf(m_address.address))
    , m_incarnation(context.random.below(~std::uint64_t{ 0 }))
    , m_socket(executor)
    , m_timer(executor)
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

asio::awaitable<void> peer_link::receive()
{
    std::string buffer(datagramBytes, '\0');
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
    if (!m_context.state.peers.hear(*report, now)) {
        return;
    }
    m_context.state.trust.hear(report->sender, report->suspects, now);
    m_context.state.loads.replacePeer(report->sender, std::move(report->work), now);
}

void peer_link::workChanged()
{
    if (m_hasChange) {
        return;
    }
    m_hasChange = true;
    m_timer.expires_after(reportPause);
}

asio::awaitable<void> peer_link::report()
{
    while (true) {
        m_timer.expires_after(m_hasChange ? reportPause : reportInterval);
        boost::system::error_code failure;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        if (failure && m_hasChange) {
            continue;
        }
        sendReport();
    }
}

void peer_link::sendReport()
{
    const bool isPeriodic = !m_hasChange;
    m_hasChange = false;
    const time_point now = m_context.clock.now();
    load_report report;
    report.sender = m_self;
    report.dataCentre = m_dataCentre;
    report.address = m_number;
    report.incarnation = m_incarnation;
    report.sequence = ++m_sequence;
    report.isLeaving = m_context.isStopping && m_context.state.loads.own().empty();
    if (isPeriodic) {
        report.known = m_context.state.peers.alive(now);
    }
    report.suspects = m_context.state.trust.suspects(now);
    report.work = m_context.state.loads.own();
    const std::string bytes = encodeLoadReport(report, now);
    for (const peer_address target : m_context.state.peers.targets()) {
        boost::system::error_code failure;
        m_socket.send_to(asio::buffer(bytes), { asio::ip::address_v4(target), m_address.port }, 0, failure);
        if (failure && failure != asio::error::would_block) {
            m_context.log.write(
                log_line("peer_unreachable").add("peer", asio::ip::address_v4(target).to_string()).add("detail", failure.message()));
        }
    }
}

} // namespace mustardtrail::gateway

#pragma once

#include "gateway/relay_history.h"
#include "programs/gateway/gateway_context.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace mustardtrail::gateway
{

/// UDP reports between the instances: each instance sends all its work to the others shortly after it has changed.
class peer_link
{
public:
    /// Called for each store answer that another instance relays. `queriedAfter` is a time before that instance queried the store,
    /// on this instance's clock; empty when unknown.
    using relay_handler = std::function<void(peer_address by, const store_relay &relay, std::optional<time_point> queriedAfter)>;

    peer_link(boost::asio::any_io_executor executor,
        gateway_context &context,
        instance_id self,
        data_centre_id dataCentre,
        endpoint address,
        relay_handler relayHandler);

    result<void> open();
    boost::asio::awaitable<void> receiveReports();
    boost::asio::awaitable<void> reportPeriodically();
    /// Sends the changes to the instances of this data centre, twice to compensate for lost datagrams.
    void relay(store_relay changes);
    /// Schedules a report within reportDelay, because the work has changed.
    void scheduleReport();
    void sendReport();

    /// Combines simultaneous changes; with a longer delay two instances would take the same slot.
    static constexpr std::chrono::milliseconds reportDelay{ 1 };
    /// Heartbeat without changes; makes up for lost datagrams and shows that the network path works.
    static constexpr std::chrono::milliseconds reportInterval{ 300 };

private:
    void onReport(const std::string &bytes);
    void onRelay(const load_report &report);
    /// Resends store changes to an instance of this data centre whose report shows an older store revision.
    void sendMissingChanges(const load_report &report);
    load_report newReport(time_point now);
    void send(const std::string &bytes, peer_address target);

    gateway_context &m_context;
    instance_id m_self;
    data_centre_id m_dataCentre;
    endpoint m_address;
    peer_address m_peerAddress;
    std::uint64_t m_incarnation;
    std::uint32_t m_sequence = 0;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_reportTimer;
    bool m_hasUnreportedChange = false;
    relay_handler m_onRelay;
    std::optional<store_relay> m_relay;
    relay_history m_relayHistory;
    int m_relayCopiesLeft = 0; ///< Copies of m_relay that remain to be sent.
};

/// IPv4 address as an integer; 0 when the text is not an IPv4 address.
peer_address peerAddressOf(const std::string &ip);

} // namespace mustardtrail::gateway

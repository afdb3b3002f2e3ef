#pragma once

#include "gateway/relay_history.h"
#include "programs/gateway/gateway_context.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace mustardtrail::gateway
{

/// Datagrams between the instances: each tells the others the whole of its work soon after it changed.
class peer_link
{
public:
    /// Gets each relay of another instance, with the moment before which the store was not asked for it.
    using relay_handler = std::function<void(peer_address by, const store_relay &relay, std::optional<time_point> askedAfter)>;

    peer_link(boost::asio::any_io_executor executor,
        gateway_context &context,
        instance_id self,
        data_centre_id dataCentre,
        endpoint address,
        relay_handler relayHandler);

    result<void> open();
    boost::asio::awaitable<void> receiveReports();
    boost::asio::awaitable<void> reportPeriodically();
    /// Sends the relay to the instances of this data centre, twice, as datagrams are lost at times.
    void relay(store_relay changes);
    /// The work has changed: a report goes out within reportPause.
    void scheduleReport();
    void sendReport();

    static constexpr std::chrono::milliseconds reportDelay{
        1
    }; ///< Joins the changes of one moment; longer, and two instances take the same slot.
    static constexpr std::chrono::milliseconds reportInterval{
        300
    }; ///< Without changes; repairs lost datagrams and shows that the way is open.

private:
    void onReport(const std::string &bytes);
    void onRelay(const load_report &report);
    /// Sends an instance of this data centre the changes that its report shows to be missing there.
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
    int m_relayCopiesLeft = 0; ///< Still to be sent.
};

/// IPv4 number as an integer; 0 when the text is none.
peer_address peerAddressOf(const std::string &ip);

} // namespace mustardtrail::gateway

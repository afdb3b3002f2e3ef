#pragma once

#include "gateway/relay_history.h"
#include "gateway/report_exchange.h"
#include "gateway/report_pace.h"
#include "programs/gateway/gateway_context.h"
#include "programs/gateway/monotonic_timer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

namespace mustardtrail::gateway
{

/// UDP reports between the instances: sends what `report_exchange` decides, and the store's changes.
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
        std::int64_t linkBitsPerSecond,
        relay_handler relayHandler);

    result<void> open();
    boost::asio::awaitable<void> receiveReports();
    boost::asio::awaitable<void> reportPeriodically();
    /// Sends the changes to the instances that rely on this one, twice to compensate for lost datagrams.
    void relay(store_relay changes);
    /// Asks the instance to send the store's changes that are missing here.
    void requestMissingChanges(peer_address from);
    /// Schedules a report within reportDelay, because the work has changed.
    void scheduleReport();
    /// Tells the others that this instance stops.
    void reportLeaving();

    /// Combines simultaneous changes; with a longer delay two instances would take the same slot.
    static constexpr std::chrono::milliseconds reportDelay{ 1 };

private:
    void onReport(const std::string &bytes);
    void onRelay(const load_report &report);
    /// Resends store changes to an instance of this data centre whose report shows an older store revision.
    void sendMissingChanges(const load_report &report);
    void sendDueReports();
    void sendAll(std::vector<outgoing_report> reports);
    void sendRelay(const store_relay &relay);
    void send(const std::string &bytes, peer_address target);

    gateway_context &m_context;
    data_centre_id m_dataCentre;
    endpoint m_address;
    peer_address m_peerAddress;
    std::uint64_t m_incarnation;
    report_exchange m_exchange;
    boost::asio::ip::udp::socket m_socket;
    monotonic_timer m_reportTimer;
    report_pace m_pace;
    bool m_hasUnreportedChange = false;
    relay_handler m_onRelay;
    std::optional<store_relay> m_lastRelay; ///< Set until its second copy is sent.
    relay_history m_relayHistory;
};

/// IPv4 address as an integer; 0 when the text is not an IPv4 address.
peer_address peerAddressOf(const std::string &ip);

} // namespace mustardtrail::gateway

#pragma once

#include "http/client.h"
#include "http/exchange.h"
#include "membership/view_core.h"
#include "orders/order_planner.h"
#include "programs/view/view_program_settings.h"
#include "rpc/rpc_dispatcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <map>
#include <memory>
#include <string>

namespace mustardtrail::view
{

/// Runs view_core and order_planner on one thread: datagrams, reads of the platform, orders to engines,
/// and the snapshot for the entry of this instance. Holds no rule.
class view_host
{
public:
    view_host(boost::asio::io_context &context, view_program_settings settings);

    /// Binds the datagram socket.
    result<void> open();
    void start();
    boost::asio::awaitable<void> serve(http::exchange &exchange);

    /// Planned stop: leaves the fleet; the snapshot is served on.
    void beginStop();
    /// True when the entry of this instance no longer asks.
    bool entryIsGone() const;

private:
    struct peer_load {
        time_point at{};
        std::vector<std::string> summaries;
    };

    void handle(const membership::view_event &event);
    void carryOut(const membership::send_datagram &action);
    void carryOut(const membership::read_config &action);
    void carryOut(const membership::read_live_list &action);
    void carryOut(const membership::fetch_delta &action);
    void carryOut(const membership::answer_delta &action);
    void carryOut(const membership::publish_view &action);
    void carryOut(const membership::load_summaries_received &action);
    void carryOut(const membership::log_event &action);

    void handleOrder(const orders::order_event &event);
    void carryOut(const orders::read_state &action);
    void carryOut(const orders::send_order &action);
    boost::asio::awaitable<void> readState(orders::read_state action, endpoint to);
    boost::asio::awaitable<void> sendOrder(orders::send_order action, endpoint to);

    boost::asio::awaitable<void> readPlatformConfig(membership::read_config action);
    boost::asio::awaitable<void> readPlatformList(membership::read_live_list action);
    boost::asio::awaitable<void> fetchFromPeer(membership::fetch_delta action);
    boost::asio::awaitable<void> readWallClock();
    void receive();
    void takeDatagram(size_t count);
    void armTimer();

    std::string answerView(const std::string &parameters);
    std::string answerDelta(const std::string &parameters);
    void takeSummaries(const boost::json::object &asked);
    boost::json::array peerLoads(time_point now) const;
    std::string deltaAfter(std::int64_t revision);
    std::string metrics() const;
    endpoint addressOf(const backend_server_id &backend) const;

    boost::asio::io_context &m_context;
    view_program_settings m_settings;
    system_monotonic_clock m_clock;
    membership::view_core m_core;
    orders::order_planner m_orders;
    http::client m_client;
    rpc::rpc_dispatcher m_rpc;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_from;
    std::array<char, 2048> m_datagram{};
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_orderTimer;
    std::shared_ptr<const membership::fleet_view> m_view;
    std::int64_t m_viewVersion = 0; ///< Grows when the view differs in more than its confirmation.
    std::map<instance_id, peer_load> m_loads;
    std::string m_delta; ///< Answer to the delta request in progress.
    time_point m_askedAt{}; ///< When the entry asked last.
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_configReads = 0;
    std::uint64_t m_ordersSent = 0;
};

} // namespace mustardtrail::view

#pragma once

#include "http/server.h"
#include "standin/engine/engine_model.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>

namespace mustardtrail::standin
{

/// Serves the engine's protocol of docs/STAND-INS.md from one engine_model, on one thread.
class engine_routes
{
public:
    engine_routes(boost::asio::io_context &context, engine_options options, std::uint64_t incarnation);

    boost::asio::awaitable<void> serve(http::exchange &exchange);
    boost::asio::awaitable<void> serveControl(http::exchange &exchange);
    /// Advances the model at a fixed pace until the context stops.
    boost::asio::awaitable<void> run();

private:
    struct loaded_model {
        std::string model;
        std::string version;
    };

    boost::asio::awaitable<void> complete(http::exchange &exchange);
    boost::asio::awaitable<void> streamFrom(http::exchange &exchange, engine_model::stream_pointer stream, std::uint64_t from);
    boost::asio::awaitable<void> answerWhole(http::exchange &exchange, engine_model::stream_pointer stream);
    boost::asio::awaitable<void> waitForProgress();
    boost::asio::awaitable<void> prefillSegment(http::exchange &exchange);
    http::response_message routeKv(const http::request_message &request);
    http::response_message takeOrder(const boost::json::object &order);
    http::response_message state() const;
    http::response_message get(const http::request_message &request);
    result<engine_stream> readRequest(const http::request_message &request) const;
    void applyControl(const boost::json::object &change);
    bool isPaused() const;

    boost::asio::io_context &m_context;
    system_monotonic_clock m_clock;
    engine_model m_model;
    std::vector<loaded_model> m_loaded;
    std::string m_role = "mixed";
    boost::asio::steady_timer m_progress;
    time_point m_pausedUntil{};
    std::uint64_t m_nextTicket = 1;
    int m_dropBeforeRun = 0;
    int m_dropAfterRun = 0;
    std::int64_t m_dropMidStreamAfter = -1;
    std::int64_t m_ordersAccepted = 0;
    std::int64_t m_ordersRefused = 0;
};

} // namespace mustardtrail::standin

#pragma once

#include "http/exchange.h"
#include "http/internal/request_reader.h"
#include "http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <mutex>
#include <vector>

namespace mustardtrail::http
{

class connection;

struct server::shared_state {
    shared_state(server_limits serverLimits, handler serve, bad_request_responder answer, limit_hooks limitHooks)
        : limits(serverLimits)
        , handle(std::move(serve))
        , badRequest(std::move(answer))
        , hooks(std::move(limitHooks))
        , budget(serverLimits.totalBodyBytes)
    {
    }

    const server_limits limits;
    const handler handle;
    const bad_request_responder badRequest;
    const limit_hooks hooks;
    body_budget budget;
    std::atomic<size_t> openConnections{ 0 };
    std::atomic<bool> stopping{ false };
    std::atomic<bool> closeAfterResponse{ false }; ///< Each connection closes after its next response.
    std::mutex mutex; ///< Guards connections; locked when one opens and once in stop().
    std::vector<std::weak_ptr<connection>> connections;

    void registerConnection(const std::shared_ptr<connection> &opened);
    void closeIdle();
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor;
};

/// One accepted connection: reads requests one after another and passes them to the handler.
class connection final : public std::enable_shared_from_this<connection>
{
public:
    connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<server::shared_state> state);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    boost::asio::awaitable<void> run();
    /// Ends the wait for the next request; a request that has begun to arrive is served.
    void closeIfIdle();

private:
    /// Returns whether the connection can take another request.
    boost::asio::awaitable<bool> serveRequest();
    /// Returns false when the connection ends without another request.
    boost::asio::awaitable<bool> waitForRequest();
    /// Answers a request that has not been read to its end.
    boost::asio::awaitable<void> refuse(request_reader &reader, const request_reader::failure &failure);
    boost::asio::awaitable<void> drain();
    /// Reads on for a while what the caller of a refused request still sends.
    boost::asio::awaitable<void> discard();
    /// Closes without reading what has arrived.
    boost::asio::awaitable<void> closeUnread();
    bool hasUnreadBytes();
    /// Whether the peer has not received all of the last response.
    bool hasUndeliveredBytes();

    std::shared_ptr<server::shared_state> m_state;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    bool m_isIdle = false;
    bool m_hasEndedIdle = false; ///< The wait for a next request ended without one.
    bool m_isRefused = false; ///< The last request was answered before it was read to its end.
    bool m_isDiscarding = false;
    std::chrono::steady_clock::time_point m_discardUntil{};
};

} // namespace mustardtrail::http

#pragma once

#include "base/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace mustardtrail::http::testing
{

/// Connection of a raw_server, after one request has been read from it.
class raw_connection
{
public:
    explicit raw_connection(boost::asio::ip::tcp::socket socket);

    /// Reads one request with its body; false when the peer has closed.
    boost::asio::awaitable<bool> readRequest();
    /// Reads the head of one request and leaves its body unread; false when the peer has closed.
    boost::asio::awaitable<bool> readHead();
    /// The request that was read last, as received: head and body, or the head alone.
    const std::string &request() const;
    /// False when the peer has closed.
    boost::asio::awaitable<bool> send(std::string bytes);
    /// Sends the piece again and again until the peer closes or this many bytes were sent, then waits for the peer to close.
    boost::asio::awaitable<void> sendUpTo(size_t bytes, std::string piece);
    boost::asio::awaitable<void> waitUntilClosed();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    /// Closes the sending side alone: the peer sees the end in order and can go on sending.
    void endSending();
    /// Closes so that the peer sees a reset. Without it the connection is closed in order.
    void reset();
    size_t sentBytes() const;

private:
    /// Reads until the first bytes, as many as `lengthOf` returns, are there; `lengthOf` returns nothing while it cannot tell.
    boost::asio::awaitable<bool> readPart(std::function<std::optional<size_t>(std::string_view)> lengthOf);

    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    std::string m_request;
    size_t m_sentBytes = 0;
};

/// What a raw_server reads of the first request before it serves the connection.
enum class request_part { head, whole };

/// Server on a free loopback port that answers with any bytes.
class raw_server
{
public:
    /// Serves one connection, whose first request has been read; the connection is closed when it returns.
    using script = std::function<boost::asio::awaitable<void>(raw_connection &)>;

    raw_server(boost::asio::any_io_executor executor, script serve, request_part readFirst = request_part::whole);

    endpoint address() const;

private:
    boost::asio::awaitable<void> acceptAll();
    boost::asio::awaitable<void> serve(raw_connection connection);

    boost::asio::ip::tcp::acceptor m_acceptor;
    script m_serve;
    request_part m_readFirst;
};

} // namespace mustardtrail::http::testing

#include "http/tests/raw_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <charconv>

namespace mustardtrail::http::testing
{

namespace asio = boost::asio;

namespace
{

/// Length of the first head in these bytes; nothing while it is incomplete.
std::optional<size_t> headLength(std::string_view bytes)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    const size_t end = bytes.find(headEnd);
    return end == std::string_view::npos ? std::nullopt : std::optional(end + headEnd.size());
}

/// Length of the first request in these bytes; nothing while its head is incomplete.
std::optional<size_t> requestLength(std::string_view bytes)
{
    constexpr std::string_view field = "Content-Length: ";
    const auto headBytes = headLength(bytes);
    if (!headBytes) {
        return std::nullopt;
    }
    size_t bodyBytes = 0;
    const std::string_view head = bytes.substr(0, *headBytes);
    if (const size_t at = head.find(field); at != std::string_view::npos) {
        const std::string_view digits = head.substr(at + field.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), bodyBytes);
    }
    return *headBytes + bodyBytes;
}

} // namespace

raw_connection::raw_connection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
}

asio::awaitable<bool> raw_connection::readRequest()
{
    return readPart(requestLength);
}

asio::awaitable<bool> raw_connection::readHead()
{
    return readPart(headLength);
}

asio::awaitable<bool> raw_connection::readPart(std::function<std::optional<size_t>(std::string_view)> lengthOf)
{
    std::array<char, 4096> piece{};
    while (true) {
        const auto length = lengthOf(m_received);
        if (length && m_received.size() >= *length) {
            m_request = m_received.substr(0, *length);
            m_received.erase(0, *length);
            co_return true;
        }
        boost::system::error_code failure;
        const size_t count = co_await m_socket.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            co_return false;
        }
        m_received.append(piece.data(), count);
    }
}

const std::string &raw_connection::request() const
{
    return m_request;
}

asio::awaitable<bool> raw_connection::send(std::string bytes)
{
    boost::system::error_code failure;
    m_sentBytes += co_await asio::async_write(m_socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

asio::awaitable<void> raw_connection::sendUpTo(size_t bytes, std::string piece)
{
    const size_t end = m_sentBytes + bytes;
    bool isOpen = true;
    while (isOpen && m_sentBytes < end) {
        isOpen = co_await send(piece);
    }
    co_await waitUntilClosed();
}

asio::awaitable<void> raw_connection::waitUntilClosed()
{
    std::array<char, 4096> ignored{};
    boost::system::error_code failure;
    while (!failure) {
        co_await m_socket.async_read_some(asio::buffer(ignored), asio::redirect_error(asio::use_awaitable, failure));
    }
}

asio::awaitable<void> raw_connection::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(m_socket.get_executor(), time);
    co_await timer.async_wait(asio::use_awaitable);
}

void raw_connection::endSending()
{
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void raw_connection::reset()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

size_t raw_connection::sentBytes() const
{
    return m_sentBytes;
}

raw_server::raw_server(asio::any_io_executor executor, script serve, request_part readFirst)
    : m_acceptor(executor, { asio::ip::make_address("127.0.0.1"), 0 })
    , m_serve(std::move(serve))
    , m_readFirst(readFirst)
{
    asio::co_spawn(executor, acceptAll(), asio::detached);
}

endpoint raw_server::address() const
{
    return { "127.0.0.1", m_acceptor.local_endpoint().port() };
}

asio::awaitable<void> raw_server::acceptAll()
{
    boost::system::error_code failure;
    while (!failure) {
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (!failure) {
            asio::co_spawn(m_acceptor.get_executor(), serve(raw_connection(std::move(socket))), asio::detached);
        }
    }
}

asio::awaitable<void> raw_server::serve(raw_connection connection)
{
    bool isRead = false;
    if (m_readFirst == request_part::head) {
        isRead = co_await connection.readHead();
    } else {
        isRead = co_await connection.readRequest();
    }
    if (isRead) {
        co_await m_serve(connection);
    }
}

} // namespace mustardtrail::http::testing

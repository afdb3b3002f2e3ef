#include "http/internal/server_exchange.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace mustardtrail::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

/// State of the wait for the peer's disconnect. Outlives the exchange when the wait ends after it.
struct server_exchange::disconnect_watch {
    std::function<void()> hook;
    asio::cancellation_signal cancel;
};

namespace
{

beast::string_view view(std::string_view text)
{
    return { text.data(), text.size() };
}

// A pipelined request also makes the socket readable; only end of stream or an error means that the peer disconnected.
bool isClosed(asio::ip::tcp::socket &socket)
{
    boost::system::error_code failure;
    std::array<char, 1> byte{};
    socket.non_blocking(true, failure);
    const size_t count = socket.receive(asio::buffer(byte), asio::socket_base::message_peek, failure);
    return failure != asio::error::would_block && (failure || count == 0);
}

/// Sends all bytes; the progress limit applies to each part that the peer takes, not to their sum.
template<typename buffers>
asio::awaitable<boost::system::error_code> writeAll(beast::tcp_stream &stream, buffers bytes, const server_limits &limits)
{
    const auto end = std::chrono::steady_clock::now() + limits.wholeWrite;
    beast::buffers_suffix<buffers> rest(bytes);
    boost::system::error_code failure;
    while (!failure && beast::buffer_bytes(rest) > 0) {
        stream.expires_at(std::min(std::chrono::steady_clock::now() + limits.progress, end));
        const size_t count = co_await stream.async_write_some(rest, asio::redirect_error(asio::use_awaitable, failure));
        rest.consume(count);
    }
    co_return failure;
}

template<typename message> void setHeaders(message &target, const header_list &headers)
{
    for (const auto &[name, value] : headers.fields()) {
        target.insert(view(name), view(value));
    }
}

} // namespace

server_exchange::server_exchange(beast::tcp_stream &stream,
    const server_limits &limits,
    request_message request,
    bool keepAlive,
    const std::atomic<bool> *closeAfterResponse)
    : m_stream(stream)
    , m_limits(limits)
    , m_request(std::move(request))
    , m_keepAlive(keepAlive)
    , m_closeAfterResponse(closeAfterResponse)
{
}

server_exchange::~server_exchange()
{
    if (m_watch) {
        m_watch->hook = nullptr;
        m_watch->cancel.emit(asio::cancellation_type::terminal);
    }
}

const request_message &server_exchange::request() const
{
    return m_request;
}

void server_exchange::expectPhase(phase required) const
{
    if (m_phase != required) {
        throw std::logic_error(required == phase::unanswered ? "the response has begun" : "no response is being streamed");
    }
}

void server_exchange::beginResponse(phase begun)
{
    expectPhase(phase::unanswered);
    m_phase = begun;
    m_keepAlive = m_keepAlive && !(m_closeAfterResponse && *m_closeAfterResponse);
}

asio::awaitable<bool> server_exchange::respond(response_message message)
{
    beast::http::response<beast::http::string_body> response(static_cast<beast::http::status>(message.status), 11);
    setHeaders(response, message.headers);
    response.body() = std::move(message.body);
    response.prepare_payload();
    beginResponse(phase::responding);
    response.keep_alive(m_keepAlive);
    boost::system::error_code failure;
    beast::http::response_serializer<beast::http::string_body> serializer(response);
    const auto end = std::chrono::steady_clock::now() + m_limits.wholeWrite;
    while (!failure && !serializer.is_done()) {
        m_stream.expires_at(std::min(std::chrono::steady_clock::now() + m_limits.progress, end));
        co_await beast::http::async_write_some(m_stream, serializer, asio::redirect_error(asio::use_awaitable, failure));
    }
    m_phase = phase::answered;
    m_broken = m_broken || failure;
    co_return !failure;
}

asio::awaitable<bool> server_exchange::startStream(int status, header_list headers)
{
    beast::http::response<beast::http::empty_body> response(static_cast<beast::http::status>(status), 11);
    setHeaders(response, headers);
    beginResponse(phase::streaming);
    response.keep_alive(m_keepAlive);
    response.chunked(true);
    m_stream.expires_after(m_limits.progress);
    boost::system::error_code failure;
    beast::http::response_serializer<beast::http::empty_body> serializer(response);
    co_await beast::http::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, failure));
    m_broken = m_broken || failure;
    co_return !failure;
}

asio::awaitable<bool> server_exchange::write(std::string_view bytes)
{
    expectPhase(phase::streaming);
    // A chunk without bytes would be the last one.
    if (m_broken || bytes.empty()) {
        co_return !m_broken;
    }
    const asio::const_buffer piece(bytes.data(), bytes.size());
    const auto failure = co_await writeAll(m_stream, beast::http::make_chunk(piece), m_limits);
    m_broken = m_broken || failure;
    co_return !failure;
}

asio::awaitable<bool> server_exchange::finishStream()
{
    return finishStreamWith({});
}

asio::awaitable<bool> server_exchange::finishStreamWith(header_list trailers)
{
    expectPhase(phase::streaming);
    if (m_broken) {
        co_return false;
    }
    m_stream.expires_after(m_limits.progress);
    std::string end = "0\r\n";
    for (const auto &[name, value] : trailers.fields()) {
        end += name + ": " + value + "\r\n";
    }
    end += "\r\n";
    boost::system::error_code failure;
    co_await asio::async_write(m_stream, asio::buffer(end), asio::redirect_error(asio::use_awaitable, failure));
    m_broken = m_broken || failure;
    m_phase = failure ? phase::streaming : phase::answered;
    co_return !failure;
}

bool server_exchange::hasStarted() const
{
    return m_phase != phase::unanswered;
}

void server_exchange::onDisconnect(std::function<void()> hook)
{
    m_watch = std::make_shared<disconnect_watch>();
    m_watch->hook = std::move(hook);
    const auto watch = m_watch;
    auto &socket = m_stream.socket();
    const auto onReadable = [watch, &socket](boost::system::error_code failure) {
        if (failure || !watch->hook || !isClosed(socket)) {
            return;
        }
        const auto notify = std::exchange(watch->hook, nullptr);
        notify();
    };
    socket.async_wait(asio::ip::tcp::socket::wait_read, asio::bind_cancellation_slot(m_watch->cancel.slot(), onReadable));
}

asio::any_io_executor server_exchange::executor() const
{
    return m_stream.get_executor();
}

bool server_exchange::canReuse() const
{
    return m_keepAlive && m_phase == phase::answered && !m_broken;
}

} // namespace mustardtrail::http

#include "http/internal/connection.h"

#include "http/internal/server_exchange.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace mustardtrail::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr std::chrono::milliseconds drainLimit{ 500 };
constexpr std::chrono::milliseconds refusedSilence{ 1'000 }; ///< Longest pause of a caller that sends on after its refusal.
constexpr std::chrono::milliseconds refusedTime{ 5'000 }; ///< For which it is read on.
constexpr size_t refusedBytes = 32 * 1024 * 1024; ///< Up to which it is read on.
constexpr size_t bufferBytes = 64 * 1024; ///< The parser throws for a field of that length, which thus never gets there.

int statusOf(const request_reader::failure &failure)
{
    switch (failure.code) {
    case error_code::request_too_large:
        return failure.limit == limit_kind::header_bytes ? 431 : 413;
    case error_code::request_timeout:
        return 408;
    case error_code::memory_budget_spent:
        return 503;
    default:
        return 400;
    }
}

} // namespace

connection::connection(asio::ip::tcp::socket socket, std::shared_ptr<server::shared_state> state)
    : m_state(std::move(state))
    , m_stream(std::move(socket))
    , m_buffer(bufferBytes)
{
    ++m_state->openConnections;
    boost::system::error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

connection::~connection()
{
    --m_state->openConnections;
}

asio::awaitable<void> connection::run()
{
    const auto keepAlive = shared_from_this();
    bool keepOpen = true;
    while (keepOpen && (!m_state->stopping || hasUnreadBytes())) {
        keepOpen = co_await serveRequest();
        // A request may have arrived before the wait for it was ended.
        keepOpen = keepOpen || (m_hasEndedIdle && hasUnreadBytes());
    }
    // Between two requests there is no response to protect, and a request that arrives now must not be read: the reset that it
    // meets tells its sender that it has not run.
    if (keepOpen || m_hasEndedIdle) {
        co_await closeUnread();
        co_return;
    }
    boost::system::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (m_isRefused) {
        co_await discard();
    } else {
        co_await drain();
    }
}

bool connection::hasUnreadBytes()
{
    boost::system::error_code failure;
    return m_buffer.size() > 0 || m_stream.socket().available(failure) > 0;
}

// The reset would also destroy the part of the last response that the peer has not made room for.
asio::awaitable<void> connection::closeUnread()
{
    if (hasUndeliveredBytes()) {
        boost::system::error_code ignored;
        m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        asio::steady_timer limit(m_stream.get_executor(), drainLimit);
        limit.async_wait([self = shared_from_this()](boost::system::error_code failure) {
            if (!failure) {
                self->m_stream.cancel();
            }
        });
        co_await m_stream.socket().async_wait(asio::ip::tcp::socket::wait_error, asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_stream.close();
}

bool connection::hasUndeliveredBytes()
{
    int bytes = 0;
    return ioctl(m_stream.socket().native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void connection::closeIfIdle()
{
    asio::post(m_stream.get_executor(), [self = shared_from_this()] {
        if (self->m_isDiscarding) {
            self->m_discardUntil = std::chrono::steady_clock::now() + drainLimit;
        }
        if (self->m_isIdle || self->m_isDiscarding) {
            self->m_stream.cancel();
        }
    });
}

// Closing a socket with unread bytes resets the connection, and the peer may lose a response that it has not read yet.
asio::awaitable<void> connection::drain()
{
    m_stream.expires_after(drainLimit);
    std::array<char, 16 * 1024> discarded;
    boost::system::error_code failure;
    while (!failure) {
        co_await m_stream.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, failure));
    }
}

// A caller that sends its whole request before it reads would lose the refusal with a reset.
asio::awaitable<void> connection::discard()
{
    m_discardUntil = std::chrono::steady_clock::now() + (m_state->stopping ? drainLimit : refusedTime);
    m_isDiscarding = true;
    std::array<char, 16 * 1024> discarded;
    size_t count = 0;
    boost::system::error_code failure;
    while (count < refusedBytes && (!failure || failure == asio::error::operation_aborted)) {
        const auto now = std::chrono::steady_clock::now();
        if (now >= m_discardUntil) {
            break;
        }
        m_stream.expires_at(std::min(now + refusedSilence, m_discardUntil));
        count += co_await m_stream.async_read_some(asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, failure));
    }
    m_isDiscarding = false;
}

asio::awaitable<void> connection::refuse(request_reader &reader, const request_reader::failure &failure)
{
    const int status = statusOf(failure);
    const request_limits limits = reader.limits();
    const request_message head = reader.takeMessage();
    response_message message;
    if (failure.limit && m_state->hooks.refuse) {
        const size_t allowed = failure.limit == limit_kind::header_bytes ? limits.headerBytes : limits.bodyBytes;
        message = m_state->hooks.refuse({ *failure.limit, status, allowed, failure.sent, limits.version, head });
    } else {
        message = m_state->badRequest(status, static_cast<int>(failure.code), failure.detail);
    }
    server_exchange answer(m_stream, m_state->limits, request_message{}, false, nullptr);
    co_await answer.respond(std::move(message));
}

asio::awaitable<bool> connection::waitForRequest()
{
    boost::system::error_code failure;
    read_deadline idle(m_stream);
    idle.expireAt(std::chrono::steady_clock::now() + m_state->limits.idle);
    m_isIdle = true;
    const size_t count = co_await m_stream.async_read_some(m_buffer.prepare(4096), asio::redirect_error(asio::use_awaitable, failure));
    m_isIdle = false;
    m_buffer.commit(count);
    m_hasEndedIdle = failure.failed();
    co_return !failure;
}

asio::awaitable<bool> connection::serveRequest()
{
    if (m_buffer.size() == 0) {
        const bool hasBegun = co_await waitForRequest();
        if (!hasBegun) {
            co_return false;
        }
    }
    request_reader reader(m_stream, m_buffer, m_state->limits, m_state->hooks.current, m_state->budget);
    const auto failure = co_await reader.read();
    if (failure && !failure->isDisconnected) {
        co_await refuse(reader, *failure);
        m_isRefused = true;
    }
    if (failure) {
        co_return false;
    }
    const bool keepAlive = reader.keepsAlive();
    server_exchange answer(m_stream, m_state->limits, reader.takeMessage(), keepAlive, &m_state->closeAfterResponse);
    co_await m_state->handle(answer);
    co_return answer.canReuse();
}

} // namespace mustardtrail::http

#include "http/internal/connection.h"

#include "http/internal/server_exchange.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

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
constexpr std::chrono::seconds maxAddedTime{ 10 }; ///< To the limits of one request, in a process that is late again and again.
constexpr std::chrono::milliseconds lateTimerThreshold{ 50 }; ///< Above the delay of a timer in a process that runs undisturbed.

using parser = beast::http::request_parser<beast::http::string_body>;

std::string text(beast::string_view view)
{
    return std::string(view.data(), view.size());
}

request_message takeMessage(parser &source)
{
    auto message = source.release();
    request_message taken;
    taken.method = text(message.method_string());
    taken.target = text(message.target());
    for (const auto &field : message) {
        taken.headers.add(text(field.name_string()), text(field.value()));
    }
    taken.body = std::make_shared<const std::string>(std::move(message.body()));
    return taken;
}

/// Memory reservation of one request body; released on destruction.
class body_reservation
{
public:
    explicit body_reservation(body_budget &budget)
        : m_budget(budget)
    {
    }
    ~body_reservation()
    {
        m_budget.release(m_bytes);
    }
    body_reservation(const body_reservation &) = delete;
    body_reservation &operator=(const body_reservation &) = delete;

    bool growTo(size_t bytes)
    {
        if (bytes <= m_bytes) {
            return true;
        }
        if (!m_budget.tryReserve(bytes - m_bytes)) {
            return false;
        }
        m_bytes = bytes;
        return true;
    }

private:
    body_budget &m_budget;
    size_t m_bytes = 0;
};

/// Cancels the reads of a connection when the deadline passes. The stream's own expiry would close the
/// socket: the error response could not be sent, and a request that has just arrived would be lost.
class read_deadline
{
public:
    explicit read_deadline(beast::tcp_stream &stream)
        : m_stream(stream)
        , m_timer(stream.get_executor())
    {
        m_stream.expires_never();
    }

    void expireAt(std::chrono::steady_clock::time_point when)
    {
        m_timer.expires_at(std::max(when, std::chrono::steady_clock::now()));
        m_timer.async_wait([this, passed = m_passed, expiry = m_timer.expiry()](boost::system::error_code failure) {
            // A wait that has ended cannot be cancelled any more when the timer is set anew.
            if (!failure && passed.use_count() > 1 && expiry == m_timer.expiry()) {
                onTimer();
            }
        });
    }
    bool hasPassed() const
    {
        return *m_passed;
    }
    /// Time that was added since the event loop did not run.
    std::chrono::nanoseconds addedTime() const
    {
        return m_addedTime;
    }

private:
    // While the event loop did not run, nothing was read: what the peer sent in that time has still to be seen.
    void onTimer()
    {
        const auto now = std::chrono::steady_clock::now();
        const std::chrono::nanoseconds late = now - m_timer.expiry();
        if (late > lateTimerThreshold && m_addedTime < maxAddedTime) {
            m_addedTime += late;
            expireAt(now + late);
            return;
        }
        *m_passed = true;
        m_stream.cancel();
    }

    beast::tcp_stream &m_stream;
    asio::steady_timer m_timer;
    std::chrono::nanoseconds m_addedTime{ 0 };
    std::shared_ptr<bool> m_passed = std::make_shared<bool>(false);
};

error_code codeOf(boost::system::error_code failure)
{
    if (failure == beast::http::error::body_limit || failure == beast::http::error::header_limit) {
        return error_code::request_too_large;
    }
    if (failure == beast::http::error::partial_message) {
        return error_code::request_truncated;
    }
    return error_code::request_malformed;
}

int statusOf(error_code code)
{
    switch (code) {
    case error_code::request_too_large:
        return 413;
    case error_code::request_timeout:
        return 408;
    case error_code::memory_budget_spent:
        return 503;
    default:
        return 400;
    }
}

bool isConnectionClosed(boost::system::error_code failure)
{
    return failure == beast::http::error::end_of_stream || failure == asio::error::connection_reset
        || failure == asio::error::operation_aborted || failure == asio::error::broken_pipe;
}

} // namespace

connection::connection(asio::ip::tcp::socket socket, std::shared_ptr<server::shared_state> state)
    : m_state(std::move(state))
    , m_stream(std::move(socket))
    , m_buffer(m_state->limits.headerBytes * 4)
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
    co_await drain();
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
        if (self->m_isIdle) {
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

asio::awaitable<bool> connection::refuseUnlessClosed(boost::system::error_code failure)
{
    if (isConnectionClosed(failure)) {
        co_return false;
    }
    const std::string detail = failure.message();
    co_return co_await refuse(statusOf(codeOf(failure)), codeOf(failure), detail);
}

asio::awaitable<bool> connection::refuse(int status, error_code code, std::string_view detail)
{
    const response_message message = m_state->badRequest(status, static_cast<int>(code), detail);
    server_exchange answer(m_stream, m_state->limits, request_message{}, false, nullptr);
    co_await answer.respond(message);
    co_return false;
}

asio::awaitable<bool> connection::serveRequest()
{
    const server_limits &limits = m_state->limits;
    parser source;
    source.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    source.body_limit(limits.bodyBytes);
    boost::system::error_code failure;
    auto token = asio::redirect_error(asio::use_awaitable, failure);
    const auto now = std::chrono::steady_clock::now;
    if (m_buffer.size() == 0) {
        read_deadline idle(m_stream);
        idle.expireAt(now() + limits.idle);
        m_isIdle = true;
        const size_t count = co_await m_stream.async_read_some(m_buffer.prepare(4096), token);
        m_isIdle = false;
        m_buffer.commit(count);
        m_hasEndedIdle = failure.failed();
        if (failure) {
            co_return false;
        }
    }
    const auto readEnd = now() + limits.wholeRequest;
    read_deadline deadline(m_stream);
    deadline.expireAt(now() + limits.progress);
    co_await beast::http::async_read_header(m_stream, m_buffer, source, token);
    if (failure && deadline.hasPassed()) {
        co_return co_await refuse(statusOf(error_code::request_timeout), error_code::request_timeout, "header");
    }
    if (failure) {
        co_return co_await refuseUnlessClosed(failure);
    }
    body_reservation reservation(m_state->budget);
    const auto announced = source.content_length();
    if (!reservation.growTo(announced ? *announced : 0)) {
        co_return co_await refuse(503, error_code::memory_budget_spent, "bodies");
    }
    if (beast::iequals(source.get()[beast::http::field::expect], "100-continue")) {
        beast::http::response<beast::http::empty_body> continueResponse(beast::http::status::continue_, 11);
        co_await beast::http::async_write(m_stream, continueResponse, token);
    }
    while (!failure && !source.is_done()) {
        deadline.expireAt(std::min(readEnd + deadline.addedTime(), now() + limits.progress));
        co_await beast::http::async_read_some(m_stream, m_buffer, source, token);
        if (!reservation.growTo(source.get().body().size())) {
            co_return co_await refuse(503, error_code::memory_budget_spent, "bodies");
        }
    }
    if (deadline.hasPassed() && !source.is_done()) {
        co_return co_await refuse(statusOf(error_code::request_timeout), error_code::request_timeout, "body");
    }
    if (failure) {
        co_return co_await refuseUnlessClosed(failure);
    }
    deadline.expireAt(std::chrono::steady_clock::time_point::max());
    const bool keepAlive = source.get().keep_alive();
    server_exchange answer(m_stream, limits, takeMessage(source), keepAlive, &m_state->closeAfterResponse);
    co_await m_state->handle(answer);
    co_return answer.canReuse();
}

} // namespace mustardtrail::http

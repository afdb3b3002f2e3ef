#include "http/internal/client_stream.h"

#include "http/internal/head_check.h"
#include "http/internal/read_failure.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace mustardtrail::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr size_t pieceBytes = 16 * 1024;

error readError(error_code code, const endpoint &to, std::string_view what)
{
    return error{ code, verdict::may_have_run, "peer=" + toString(to) + " " + std::string(what), {} };
}

// Half of the server's keep-alive time-out: the other half covers network latency and a late timer.
std::chrono::milliseconds idleLimitOf(std::string_view keepAlive)
{
    constexpr std::chrono::milliseconds defaultLimit{ 4'000 }; // Below the idle time-outs of common servers.
    constexpr std::string_view field = "timeout=";
    const size_t at = keepAlive.find(field);
    if (at == std::string_view::npos) {
        return defaultLimit;
    }
    const std::string_view digits = keepAlive.substr(at + field.size());
    int seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc()) {
        return defaultLimit;
    }
    return std::chrono::milliseconds(500) * seconds;
}

} // namespace

client_stream::client_stream(std::shared_ptr<client::connection_pool> pool,
    endpoint to,
    std::unique_ptr<client_connection> connection,
    std::unique_ptr<parser> source,
    std::chrono::milliseconds progress,
    std::function<void()> onBytes,
    bool isReusable,
    bool isOnReusedConnection)
    : m_pool(std::move(pool))
    , m_to(std::move(to))
    , m_connection(std::move(connection))
    , m_source(std::move(source))
    , m_progress(progress)
    , m_onBytes(std::move(onBytes))
    , m_isReusable(isReusable)
    , m_isOnReusedConnection(isOnReusedConnection)
    , m_isConnectionReset(m_connection->isReset)
{
    for (const auto &field : m_source->get()) {
        const auto name = field.name_string();
        const auto value = field.value();
        m_headers.add(std::string(name.data(), name.size()), std::string(value.data(), value.size()));
    }
}

client_stream::~client_stream() = default;

int client_stream::status() const
{
    return static_cast<int>(m_source->get().result_int());
}

const header_list &client_stream::headers() const
{
    return m_headers;
}

bool client_stream::endsWithConnection() const
{
    return m_source->need_eof();
}

// The parser appends the trailer to the fields of the head.
std::string_view client_stream::trailer(std::string_view name) const
{
    const auto inHead = std::ranges::count_if(m_headers.fields(), [name](const auto &field) {
        return beast::iequals(field.first, beast::string_view(name.data(), name.size()));
    });
    const auto [begin, end] = m_source->get().equal_range(beast::string_view(name.data(), name.size()));
    if (std::distance(begin, end) <= inHead) {
        return {};
    }
    const auto value = std::prev(end)->value();
    return { value.data(), value.size() };
}

bool client_stream::isOnReusedConnection() const
{
    return m_isOnReusedConnection;
}

void client_stream::returnToPool()
{
    // Bytes after the response belong to no request, so a connection that received any is not reused.
    if (m_connection && m_source->keep_alive() && m_connection->buffer.size() == 0 && m_isReusable) {
        m_connection->forgetClosers();
        m_connection->stream.expires_never();
        m_connection->idleLimit = idleLimitOf(m_headers.find("Keep-Alive"));
        m_pool->put(m_to, std::move(m_connection));
    }
    m_connection.reset();
}

asio::awaitable<result<std::string>> client_stream::read()
{
    std::string piece(pieceBytes, '\0');
    while (m_connection && !m_source->is_done()) {
        auto &body = m_source->get().body();
        body.data = piece.data();
        body.size = piece.size();
        const auto end = std::chrono::steady_clock::now() + m_progress;
        m_connection->stream.expires_at(end);
        boost::system::error_code failure;
        co_await beast::http::async_read_some(
            m_connection->stream, m_connection->buffer, *m_source, asio::redirect_error(asio::use_awaitable, failure));
        if (failure == beast::http::error::need_buffer) {
            failure = {};
        }
        if (m_connection && m_connection->isPartitioned()) {
            const auto links = m_connection->partitions;
            const bool isHealed = co_await links->waitUntilHealed(m_to, end, &m_isClosed);
            failure = isHealed ? failure : beast::error::timeout;
        }
        if (!m_connection || failure) {
            m_connection.reset();
            co_return tl::unexpected(readError(codeOfReadFailure(failure), m_to, failure.message()));
        }
        const size_t count = piece.size() - body.size;
        if (count > 0) {
            if (m_onBytes) {
                m_onBytes();
            }
            piece.resize(count);
            co_return piece;
        }
    }
    if (!m_source->is_done()) {
        co_return tl::unexpected(readError(error_code::backend_connection_lost, m_to, "closed"));
    }
    if (m_isConnectionReset && m_source->need_eof()) {
        m_connection.reset();
        co_return tl::unexpected(readError(error_code::backend_connection_lost, m_to, "reset while the request was sent"));
    }
    // Trailer fields are added to those of the head.
    if (const auto fault = m_source->chunked() ? signOfSecondHead(m_source->get()) : std::nullopt) {
        m_connection.reset();
        co_return tl::unexpected(readError(error_code::backend_answer_invalid, m_to, *fault));
    }
    returnToPool();
    co_return std::string();
}

// Keeps the connection object, because a read in progress still uses it.
void client_stream::close()
{
    m_isClosed = true;
    if (m_connection) {
        m_connection->stream.cancel();
        if (m_connection->isPartitioned()) {
            return;
        }
        boost::system::error_code ignored;
        m_connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }
}

} // namespace mustardtrail::http

#include "http/client.h"

#include "http/internal/client_stream.h"
#include "http/internal/head_check.h"
#include "http/internal/read_failure.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>

#include <array>
#include <utility>

namespace mustardtrail::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr size_t writePieceBytes = 256 * 1024;
constexpr size_t maxReadBytes = 64 * 1024;
constexpr std::chrono::milliseconds earlyResponseTimeout{ 200 }; ///< A response sent before a close has arrived or is lost.
constexpr std::chrono::milliseconds unusedIdleLimit{ 1'000 }; ///< Before a first response the server's time-out is not known.
constexpr int maxInterimHeads = 16; ///< Before the head of one response; servers send one or two.

error callError(error_code code, verdict outcome, const endpoint &to, std::string_view detail)
{
    return error{ code, outcome, "peer=" + toString(to) + " " + std::string(detail), {} };
}

std::string headerText(const endpoint &to, const request_message &message)
{
    std::string text = message.method + " " + message.target + " HTTP/1.1\r\n";
    if (message.headers.find("Host").empty()) {
        text += "Host: " + toString(to) + "\r\n";
    }
    for (const auto &[name, value] : message.headers.fields()) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(message.contentLength()) + "\r\n\r\n";
}

// Linux reports a reset once, here to the write, and as a broken pipe if the server had ended its side before. What had arrived can
// still be read and then seems to end in order.
bool isResetOf(const boost::system::error_code &writeFailure)
{
    return writeFailure != asio::error::broken_pipe;
}

/// Sends the request in pieces, so that the progress limit applies to each piece.
asio::awaitable<result<void>> sendRequest(
    client_connection &connection, const endpoint &to, const request_message &message, const call_limits &limits)
{
    const std::string head = headerText(to, message) + message.bodyPrefix;
    std::string_view rest;
    if (message.body) {
        rest = std::string_view(*message.body).substr(message.bodySkip);
    }
    size_t sent = 0;
    bool first = true;
    while (first || !rest.empty()) {
        const std::string_view piece = rest.substr(0, writePieceBytes);
        if (connection.isPartitioned()) {
            connection.socketDuplicate->appendPending((first ? head : std::string()) + std::string(rest));
            co_return result<void>{};
        }
        const std::array<asio::const_buffer, 2> buffers{ first ? asio::buffer(head) : asio::const_buffer(),
            asio::buffer(piece.data(), piece.size()) };
        connection.stream.expires_after(limits.progress);
        boost::system::error_code failure;
        sent += co_await asio::async_write(connection.stream, buffers, asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            connection.isReset = isResetOf(failure);
            const verdict outcome = sent == 0 ? verdict::not_run : verdict::may_have_run;
            co_return tl::unexpected(callError(error_code::backend_connection_lost, outcome, to, failure.message()));
        }
        rest.remove_prefix(piece.size());
        first = false;
    }
    co_return result<void>{};
}

asio::awaitable<result<std::unique_ptr<client_connection>>> connect(asio::any_io_executor executor,
    endpoint to,
    std::chrono::milliseconds limit,
    std::shared_ptr<partitioned_links> partitions,
    std::function<void()> onRefused)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    if (partitions && partitions->contains(to)) {
        const bool isHealed = co_await partitions->waitUntilHealed(to, end);
        if (!isHealed) {
            co_return tl::unexpected(callError(error_code::backend_connect_failed, verdict::not_run, to, "timeout"));
        }
    }
    auto connection = std::make_unique<client_connection>(executor);
    boost::system::error_code failure;
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(to.address, failure), to.port);
    if (!failure) {
        connection->stream.expires_at(end);
        co_await connection->stream.async_connect(remote, asio::redirect_error(asio::use_awaitable, failure));
    }
    if (failure == asio::error::connection_refused && onRefused) {
        onRefused();
    }
    if (failure) {
        co_return tl::unexpected(callError(error_code::backend_connect_failed, verdict::not_run, to, failure.message()));
    }
    boost::system::error_code ignored;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    if (partitions) {
        connection->socketDuplicate = std::make_unique<duplicated_socket>(to, connection->stream.socket().native_handle());
        connection->partitions = std::move(partitions);
    }
    co_return connection;
}

/// Returns a function that closes the connection from outside the call, and does nothing once the connection is destroyed.
std::function<void()> makeCloser(const client_connection &connection)
{
    return [self = connection.selfReference] {
        if (*self) {
            (*self)->close();
        }
    };
}

/// Why a wait for the end of a simulated partition ended before it; as a read of the socket would have failed.
boost::system::error_code failureOfWait(const client_connection &connection)
{
    if (connection.isClosed) {
        return asio::error::operation_aborted;
    }
    return beast::error::timeout;
}

/// Parses the bytes that have arrived; need_more while they are only the beginning of a header. The parser leaves a field in the buffer
/// until it has the byte behind its line, so that a folded line is seen here however the header is divided.
boost::system::error_code parseHeader(client_connection &connection, client_stream::parser &source)
{
    const auto unparsed = connection.buffer.cdata();
    if (hasFoldedLine({ static_cast<const char *>(unparsed.data()), unparsed.size() })) {
        return beast::http::error::bad_obs_fold;
    }
    boost::system::error_code failure;
    connection.buffer.consume(source.put(unparsed, failure));
    return failure;
}

/// Like async_read_header of the library, but folded lines make no header.
asio::awaitable<boost::system::error_code> receiveHeader(client_connection &connection, client_stream::parser &source)
{
    boost::system::error_code failure = beast::http::error::need_more;
    if (connection.buffer.size() > 0) {
        failure = parseHeader(connection, source);
    }
    while (failure == beast::http::error::need_more) {
        const auto room = connection.buffer.prepare(beast::read_size(connection.buffer, maxReadBytes));
        boost::system::error_code readFailure;
        const size_t count = co_await connection.stream.async_read_some(room, asio::redirect_error(asio::use_awaitable, readFailure));
        if (readFailure == asio::error::eof) {
            co_return source.got_some() ? beast::http::error::partial_message : beast::http::error::end_of_stream;
        }
        if (readFailure) {
            co_return readFailure;
        }
        connection.buffer.commit(count);
        failure = parseHeader(connection, source);
    }
    co_return failure;
}

/// Reads the response header. During a simulated partition, waits until it heals and then sends the pending bytes.
asio::awaitable<boost::system::error_code> readHeader(
    client_connection &connection, endpoint to, client_stream::parser &source, std::chrono::steady_clock::time_point end)
{
    if (connection.isPartitioned()) {
        const bool isHealed = co_await connection.partitions->waitUntilHealed(to, end, &connection.isClosed);
        if (!isHealed) {
            co_return failureOfWait(connection);
        }
        connection.socketDuplicate->sendPending();
    }
    connection.stream.expires_at(end);
    boost::system::error_code failure = co_await receiveHeader(connection, source);
    if (connection.isPartitioned()) {
        const bool isHealed = co_await connection.partitions->waitUntilHealed(to, end, &connection.isClosed);
        failure = isHealed ? failure : failureOfWait(connection);
    }
    co_return failure;
}

// The client asks for no other protocol, so 101 is no proper answer.
bool isInterim(const client_stream::parser &source)
{
    const unsigned status = source.get().result_int();
    return status >= 100 && status < 200 && status != 101;
}

} // namespace

call_limits call_limits::within(std::chrono::milliseconds limit)
{
    call_limits limits;
    limits.connect = limit;
    limits.firstByte = limit;
    limits.progress = limit;
    return limits;
}

client::client(asio::any_io_executor executor, simulated_partitions allowed)
    : m_executor(std::move(executor))
    , m_pool(std::make_shared<connection_pool>())
    , m_partitions(allowed == simulated_partitions::allowed ? std::make_shared<partitioned_links>() : nullptr)
{
}

client::~client() = default;

bool client::setPartitionedEndpoints(std::set<endpoint> endpoints)
{
    if (!m_partitions) {
        return false;
    }
    m_partitions->setEndpoints(std::move(endpoints));
    return true;
}

bool client::isPartitionedFrom(const endpoint &peer) const
{
    return m_partitions && m_partitions->contains(peer);
}

asio::awaitable<result<std::unique_ptr<response_stream>>> client::open(endpoint to, request_message message, call_limits limits)
{
    const auto pool = m_pool;
    std::unique_ptr<client_connection> connection = limits.freshConnection ? nullptr : pool->take(to, limits.maxIdleForReuse);
    if (!connection) {
        auto connected = co_await connect(m_executor, to, limits.connect, m_partitions, limits.onRefused);
        if (!connected) {
            co_return tl::unexpected(connected.error());
        }
        connection = std::move(*connected);
        if (limits.onOpened) {
            limits.onOpened();
        }
    }
    if (limits.beforeSend) {
        if (const auto refusal = limits.beforeSend()) {
            co_return tl::unexpected(*refusal);
        }
    }
    if (limits.onConnection) {
        limits.onConnection(makeCloser(*connection));
    }
    const bool isReused = std::exchange(connection->hasCarriedRequest, true);
    const auto sent = co_await sendRequest(*connection, to, message, limits);
    if (!sent && sent.error().outcome == verdict::not_run) {
        co_return tl::unexpected(sent.error());
    }
    // A server that rejects a large body may respond and close before it has read all of it.
    const auto headerEnd = std::chrono::steady_clock::now() + (sent ? limits.firstByte : earlyResponseTimeout);
    auto source = std::make_unique<client_stream::parser>();
    source->body_limit(boost::none);
    boost::system::error_code failure = co_await readHeader(*connection, to, *source, headerEnd);
    for (int heads = 0; heads < maxInterimHeads && !failure && isInterim(*source) && !faultOfHead(source->get()); ++heads) {
        source = std::make_unique<client_stream::parser>();
        source->body_limit(boost::none);
        failure = co_await readHeader(*connection, to, *source, headerEnd);
    }
    if (const auto fault = failure ? std::nullopt : faultOfHead(source->get())) {
        co_return tl::unexpected(callError(error_code::backend_answer_invalid, verdict::may_have_run, to, *fault));
    }
    if (const unsigned status = source->get().result_int(); !failure && status < 200) {
        const std::string detail = "status " + std::to_string(status) + " is not final";
        co_return tl::unexpected(callError(error_code::backend_answer_invalid, verdict::may_have_run, to, detail));
    }
    if (failure && !sent) {
        co_return tl::unexpected(sent.error());
    }
    if (failure) {
        const error_code code = failure == beast::error::timeout ? error_code::backend_timeout : codeOfReadFailure(failure);
        co_return tl::unexpected(callError(code, verdict::may_have_run, to, failure.message()));
    }
    co_return std::make_unique<client_stream>(
        pool, to, std::move(connection), std::move(source), limits.progress, std::move(limits.onBytes), sent.has_value(), isReused);
}

asio::awaitable<result<void>> client::openIdle(endpoint to, std::chrono::milliseconds limit)
{
    const auto pool = m_pool;
    auto connected = co_await connect(m_executor, to, limit, m_partitions, {});
    if (!connected) {
        co_return tl::unexpected(connected.error());
    }
    (*connected)->stream.expires_never();
    (*connected)->idleLimit = unusedIdleLimit;
    pool->put(to, std::move(*connected));
    co_return result<void>{};
}

void client::closeIdle(const endpoint &to)
{
    m_pool->drop(to);
}

void client::closeUnusable(size_t most)
{
    m_pool->closeUnusable(most);
}

size_t client::idleConnections() const
{
    return m_pool->size();
}

asio::awaitable<result<response_message>> client::call(endpoint to, request_message message, call_limits limits)
{
    auto opened = co_await open(to, std::move(message), limits);
    if (!opened) {
        co_return tl::unexpected(opened.error());
    }
    co_return co_await readWhole(**opened, limits.bodyBytes);
}

asio::awaitable<result<response_message>> readWhole(response_stream &source, size_t maxBytes)
{
    response_message answer;
    answer.status = source.status();
    answer.headers = source.headers();
    while (true) {
        auto piece = co_await source.read();
        if (!piece) {
            co_return tl::unexpected(piece.error());
        }
        if (piece->empty()) {
            co_return answer;
        }
        answer.body += *piece;
        if (answer.body.size() > maxBytes) {
            co_return tl::unexpected(error{ error_code::backend_answer_invalid, verdict::ran, "answer too large", {} });
        }
    }
}

} // namespace mustardtrail::http

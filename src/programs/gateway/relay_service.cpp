#include "programs/gateway/relay_service.h"

#include "gateway/caller_limits.h"
#include "platform/request_head.h"
#include "platform/response_head.h"
#include "programs/gateway/relay_fields.h"

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds connectTimeout{ 150 }; ///< The sender's caller has waited for the sender's own attempt already.
constexpr milliseconds maxReuseIdle{ 1'000 }; ///< The request may be one that must not be lost to a server that closes meanwhile.
constexpr milliseconds progressLimit{ 60'000 }; ///< The sender knows the request's time and closes its connection in time.
constexpr size_t addedHeaderBytes = 4 * 1024; ///< Most that an instance adds to the head of a caller's request.

http::server_limits serverLimits(size_t maxBodyBytes)
{
    http::server_limits limits;
    limits.headerBytes = caller_limits::maxHeaderBytes + addedHeaderBytes;
    limits.totalBodyBytes = maxBodyBytes;
    return limits;
}

http::response_message refusal(int status, std::string_view outcome)
{
    http::response_message message;
    message.status = status;
    message.headers.add(std::string(relay_field::outcome), std::string(outcome));
    return message;
}

http::response_message notRun(int status, std::string_view reason)
{
    http::response_message message = refusal(status, relay_field::notRun);
    message.headers.add(std::string(relay_field::reason), std::string(reason));
    return message;
}

http::response_message refuseUnread(int status, int, std::string_view)
{
    return notRun(status, relay_field::handedBack);
}

http::request_message withoutRelayFields(const http::request_message &request)
{
    http::request_message message;
    message.method = request.method;
    message.target = request.target;
    message.body = request.body;
    message.headers = platform::endToEndHeaders(request.headers);
    for (const std::string_view field : { relay_field::server, relay_field::connection, relay_field::end }) {
        message.headers = withoutFirst(field, message.headers);
    }
    return message;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

// The fields of the relay go before the server's own, which may have the same names.
http::header_list relayedHeaders(const http::response_stream &answer, bool isEndMarked)
{
    const std::string_view body = answer.endsWithConnection() ? relay_field::endsWithConnection : relay_field::isFramed;
    const std::string_view connection = answer.isOnReusedConnection() ? relay_field::isReused : relay_field::isNew;
    http::header_list headers{ { std::string(relay_field::outcome), std::string(relay_field::passedOn) },
        { std::string(relay_field::body), std::string(body) },
        { std::string(relay_field::connection), std::string(connection) },
        { std::string(relay_field::end), std::string(isEndMarked ? relay_field::isMarked : relay_field::isUnmarked) } };
    const http::header_list serverFields = platform::endToEndHeaders(answer.headers());
    for (const auto &[name, value] : serverFields.fields()) {
        headers.add(name, value);
    }
    return headers;
}

} // namespace

relay_service::relay_service(
    asio::any_io_executor executor, http::client &servers, const fleet_state &state, rate_limited_log &log, size_t maxBodyBytes)
    : m_client(servers)
    , m_state(state)
    , m_log(log)
    , m_server(
          std::move(executor),
          serverLimits(maxBodyBytes),
          [this](http::exchange &exchange) {
              return serve(exchange);
          },
          refuseUnread)
{
}

result<endpoint> relay_service::listen(const endpoint &address)
{
    return m_server.listen(address);
}

void relay_service::refuseRequests()
{
    m_isStopping = true;
    m_server.disableKeepAlive();
}

void relay_service::endRequests()
{
    m_isStopping = m_isEnding = true;
    const auto closers = m_closers; // A request that ends removes its own.
    for (const auto &close : closers) {
        if (*close) {
            (*close)();
        }
    }
}

void relay_service::stop()
{
    m_server.stop();
}

size_t relay_service::running() const
{
    return m_running;
}

asio::awaitable<void> relay_service::serve(http::exchange &exchange)
{
    const auto server = endpointFromString(exchange.request().headers.find(relay_field::server));
    if (m_isStopping || !server || !m_state.servers.isKnownAddress(*server) || m_state.paths.isLost(*server)) {
        co_await exchange.respond(notRun(503, relay_field::handedBack));
        co_return;
    }
    ++m_running;
    const auto close = std::make_shared<closer>();
    m_closers.insert(close);
    try {
        co_await passOn(exchange, *server, close);
    } catch (const std::exception &thrown) {
        // Without a finished answer the connection closes: the sender takes the request as one that may have run.
        m_log.write(log_line("relay_aborted").add("server", toString(*server)).add("detail", thrown.what()));
    }
    m_closers.erase(close);
    --m_running;
}

http::call_limits relay_service::limitsFor(http::exchange &exchange, std::shared_ptr<closer> close)
{
    const auto isSenderGone = std::make_shared<bool>(false);
    exchange.onDisconnect([close, isSenderGone] {
        *isSenderGone = true;
        if (*close) {
            (*close)();
        }
    });
    http::call_limits limits;
    limits.connect = connectTimeout;
    limits.firstByte = limits.progress = progressLimit;
    limits.maxIdleForReuse = maxReuseIdle;
    limits.freshConnection = exchange.request().headers.find(relay_field::connection) == relay_field::isNew;
    limits.onConnection = [close, isSenderGone](std::function<void()> closeConnection) {
        *close = std::move(closeConnection);
        if (*isSenderGone) {
            (*close)();
        }
    };
    limits.beforeSend = [this]() -> std::optional<error> {
        if (!m_isStopping) {
            return std::nullopt;
        }
        return error{ error_code::instance_stopping, verdict::not_run, "relay stops", {} };
    };
    return limits;
}

asio::awaitable<void> relay_service::passOn(http::exchange &exchange, endpoint server, std::shared_ptr<closer> close)
{
    auto limits = limitsFor(exchange, close);
    auto answer = co_await m_client.open(server, withoutRelayFields(exchange.request()), std::move(limits));
    m_log.write(log_line("request_relayed")
                    .add("request", platform::readRequestHead(exchange.request()).attempt.str())
                    .add("server", toString(server))
                    .add("outcome", answer ? "answered" : toString(answer.error().outcome))
                    .add("error", answer ? "" : answer.error().detail));
    if (!answer) {
        const bool isUnsent = answer.error().outcome == verdict::not_run;
        if (!isUnsent && m_isEnding) {
            co_return; // The connection closes, which shows that this instance ended.
        }
        const bool isUnreached = answer.error().code == error_code::backend_connect_failed;
        http::response_message message = isUnsent ? notRun(502, isUnreached ? relay_field::unreached : relay_field::handedBack)
                                                  : refusal(502, relay_field::mayHaveRun);
        co_await exchange.respond(std::move(message));
        co_return;
    }
    co_await passAnswerOn(exchange, **answer);
}

// A time limit here and an answer that cannot be read are no end of the server; nor is what this instance sees while its paths are lost.
bool relay_service::isServerLost(const error &problem) const
{
    return problem.code == error_code::backend_connection_lost && !m_state.paths.hasLostPaths();
}

asio::awaitable<void> relay_service::passAnswerOn(http::exchange &exchange, http::response_stream &answer)
{
    const bool knowsMark = exchange.request().headers.find(relay_field::end) == relay_field::isMarked;
    auto bytes = co_await answer.read();
    if (!bytes && m_isEnding) {
        co_return;
    }
    // Servers that a prompt crashes often end here. A cut after the head would look like the end of this instance.
    if (!bytes && isSuccess(answer.status())) {
        co_await exchange.respond(refusal(502, relay_field::mayHaveRun));
        co_return;
    }
    http::header_list headers = relayedHeaders(answer, knowsMark);
    bool isOpen = co_await exchange.startStream(answer.status(), std::move(headers));
    while (isOpen && bytes && !bytes->empty()) {
        isOpen = co_await exchange.write(*bytes);
        if (isOpen) {
            bytes = co_await answer.read();
        }
    }
    if (!isOpen || (!bytes && (m_isEnding || !knowsMark || !isServerLost(bytes.error())))) {
        co_return; // The sender sees an answer that is cut off.
    }
    http::header_list mark;
    if (!bytes) {
        mark.add(std::string(relay_field::end), std::string(relay_field::serverLost));
    }
    co_await exchange.finishStreamWith(std::move(mark));
}

} // namespace mustardtrail::gateway

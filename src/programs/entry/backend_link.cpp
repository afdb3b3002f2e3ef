#include "programs/entry/backend_link.h"

#include "api/engine_event.h"
#include "api/event_parser.h"
#include "base/json_access.h"
#include "http/status.h"
#include "programs/entry/engine_request.h"
#include "programs/entry/entry_host.h"
#include "programs/entry/service_head.h"

#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::entry
{

namespace
{

constexpr size_t refusalBytes = 64 * 1024;
constexpr std::chrono::milliseconds longestSilence{ 3'600'000 }; // The node's own time-outs come first.

http::request_message serviceRequest(const payload &content)
{
    http::request_message message;
    message.method = content.method;
    message.target = content.target;
    message.body = content.body;
    if (!content.contentType.empty()) {
        message.headers.add("Content-Type", content.contentType);
    }
    if (!content.idempotencyKey.empty()) {
        message.headers.add("Idempotency-Key", content.idempotencyKey);
    }
    return message;
}

error tooLate(const node::open_backend &action)
{
    return error{ error_code::view_not_confirmed, verdict::not_run, "backend=" + action.backend.str(), {} };
}

} // namespace

backend_link::backend_link(entry_host &host, attempt_id attempt, request_id request, int connection)
    : m_host(host)
    , m_attempt(std::move(attempt))
    , m_request(std::move(request))
    , m_connection(connection)
{
}

void backend_link::report(const request::backend_event &event)
{
    if (!isClosed()) {
        m_host.handle(node::backend_reported{ m_attempt, event });
    }
}

boost::asio::awaitable<void> backend_link::open(node::open_backend action, std::shared_ptr<const payload> content)
{
    const auto self = shared_from_this();
    http::request_message message = action.isEngine ? engineRequest(action, *content) : serviceRequest(*content);
    http::call_limits limits;
    limits.firstByte = longestSilence;
    limits.progress = longestSilence;
    limits.freshConnection = !action.isEngine;
    limits.beforeSend = [this, action]() -> std::optional<error> {
        if (isClosed() || m_host.clock().now() >= action.notAfter) {
            return tooLate(action);
        }
        report(request::connection_ready{ m_connection });
        report(request::request_sent{ m_connection });
        return std::nullopt;
    };
    auto opened = co_await m_host.httpClient().open(action.to, std::move(message), limits);
    if (!opened) {
        report(request::connection_lost{ m_connection });
        co_return;
    }
    co_await read(std::move(*opened), action.isEngine);
}

boost::asio::awaitable<void> backend_link::resume(node::resume_backend action)
{
    const auto self = shared_from_this();
    http::request_message message;
    message.target = "/streams/" + action.attempt.str() + "?from=" + std::to_string(action.from);
    http::call_limits limits;
    limits.progress = longestSilence;
    report(request::connection_ready{ m_connection });
    report(request::request_sent{ m_connection });
    auto opened = co_await m_host.httpClient().open(action.to, std::move(message), limits);
    if (!opened) {
        report(request::connection_lost{ m_connection });
        co_return;
    }
    co_await read(std::move(*opened), true);
}

boost::asio::awaitable<void> backend_link::read(std::shared_ptr<http::response_stream> stream, bool isEngine)
{
    use(stream);
    if (isClosed()) {
        co_return;
    }
    const bool isRefusal = isEngine ? stream->status() != http::statusOk : stream->status() == http::statusUnavailable;
    if (isRefusal) {
        co_await readRefusal(*stream);
    } else if (isEngine) {
        co_await readEngine(*stream);
    } else {
        co_await readService(*stream);
    }
    if (!m_ended) {
        report(request::connection_lost{ m_connection });
    }
}

boost::asio::awaitable<void> backend_link::readEngine(http::response_stream &stream)
{
    report(request::backend_accepted{ m_connection });
    api::event_parser parser;
    while (!isClosed() && !m_ended && !parser.isBroken()) {
        co_await waitForReader(m_host, m_attempt);
        const auto bytes = co_await stream.read();
        if (!bytes || bytes->empty()) {
            co_return;
        }
        report(request::backend_alive{ m_connection });
        parser.push(*bytes);
        while (const auto data = parser.next()) {
            if (!reportEvent(*data)) {
                co_return;
            }
        }
    }
    // Reading on to the end of the answer gives the connection back to the pool.
    while (!isClosed() && m_ended) {
        const auto rest = co_await stream.read();
        if (!rest || rest->empty()) {
            co_return;
        }
    }
}

bool backend_link::reportEvent(const std::string &data)
{
    const auto event = api::readEngineEvent(data);
    if (!event) {
        return false;
    }
    if (event->type == api::engine_event::kind::piece) {
        report(request::backend_chunk{ m_connection, event->sequence, event->text, event->tokens });
    }
    if (event->type == api::engine_event::kind::finished) {
        m_ended = true;
        report(request::backend_finished{ m_connection, event->sequence, event->finishReason });
    }
    return event->type != api::engine_event::kind::failed;
}

boost::asio::awaitable<void> backend_link::readService(http::response_stream &stream)
{
    report(request::backend_accepted{ m_connection });
    std::uint64_t sequence = 0;
    report(request::backend_chunk{ m_connection, sequence++, serviceHeadText(stream.status(), stream.headers()), 0 });
    while (!isClosed()) {
        co_await waitForReader(m_host, m_attempt);
        auto bytes = co_await stream.read();
        if (!bytes) {
            co_return;
        }
        if (bytes->empty()) {
            m_ended = true;
            report(request::backend_finished{ m_connection, sequence, "stop" });
            co_return;
        }
        report(request::backend_chunk{ m_connection, sequence++, std::move(*bytes), 0 });
    }
}

boost::asio::awaitable<void> backend_link::readRefusal(http::response_stream &stream)
{
    std::string body;
    while (body.size() < refusalBytes) {
        const auto bytes = co_await stream.read();
        if (!bytes || bytes->empty()) {
            break;
        }
        body += *bytes;
    }
    const boost::json::object message = json_access::objectFromText(body);
    request::backend_refused refused{ m_connection, stream.status(), std::nullopt, std::nullopt };
    if (const auto *started = message.if_contains("started"); started != nullptr && started->is_bool()) {
        refused.started = started->get_bool();
    }
    if (const std::int64_t wait = json_access::numberOr(message, "retry_after_ms", -1); wait >= 0) {
        refused.retryAfter = std::chrono::milliseconds(wait);
    }
    m_ended = true;
    report(refused);
}

} // namespace mustardtrail::entry

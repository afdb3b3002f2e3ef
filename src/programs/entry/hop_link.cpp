#include "programs/entry/hop_link.h"

#include "api/engine_event.h"
#include "api/event_parser.h"
#include "http/status.h"
#include "programs/entry/entry_host.h"
#include "programs/entry/hop_message.h"

#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::entry
{

namespace
{

constexpr std::chrono::milliseconds connectLimit{ 300 };

} // namespace

hop_link::hop_link(entry_host &host, attempt_id attempt)
    : m_host(host)
    , m_attempt(std::move(attempt))
{
}

void hop_link::fail(const error &failure)
{
    if (!isClosed() && !m_ended) {
        m_ended = true;
        m_host.handle(request::attempt_failed{ m_attempt, failure, {} });
    }
}

boost::asio::awaitable<void> hop_link::run(node::forward_attempt action, std::shared_ptr<const payload> content)
{
    const auto self = shared_from_this();
    m_arrival = action.attempt.work.arrival;
    http::call_limits limits;
    limits.connect = connectLimit;
    limits.firstByte = hopSilenceLimit;
    limits.progress = hopSilenceLimit;
    limits.freshConnection = !action.attempt.work.repeatable;
    auto message = hopRequest(action, *content, m_host.clock().now());
    auto opened = co_await m_host.httpClient().open(action.to, std::move(message), limits);
    if (!opened) {
        error failure = opened.error();
        failure.code = failure.outcome == verdict::not_run ? error_code::peer_connect_failed : error_code::peer_connection_lost;
        fail(failure);
        co_return;
    }
    co_await read(std::move(*opened));
    fail(error{ error_code::peer_connection_lost, verdict::may_have_run, "hop cut", {} });
}

boost::asio::awaitable<void> hop_link::read(std::shared_ptr<http::response_stream> stream)
{
    use(stream);
    if (stream->status() != http::statusOk) {
        fail(error{ error_code::peer_message_invalid, verdict::not_run, "status=" + std::to_string(stream->status()), {} });
        co_return;
    }
    api::event_parser parser;
    while (!isClosed() && !parser.isBroken()) {
        co_await waitForReader(m_host, m_attempt);
        const auto bytes = co_await stream->read();
        if (!bytes || bytes->empty()) {
            co_return;
        }
        parser.push(*bytes);
        while (const auto data = parser.next()) {
            if (!reportEvent(*data)) {
                co_return;
            }
        }
    }
}

bool hop_link::reportEvent(const std::string &data)
{
    if (const auto load = readHopLoad(data, m_host.pools(), m_arrival, m_host.clock().now())) {
        m_host.handle(node::summary_received{ *load });
        return !isClosed();
    }
    const auto event = api::readEngineEvent(data);
    if (!event) {
        return false;
    }
    if (isClosed() || m_ended) {
        return !isClosed();
    }
    switch (event->type) {
    case api::engine_event::kind::accepted:
        m_host.handle(request::attempt_accepted{ m_attempt, backend_server_id(event->text) });
        break;
    case api::engine_event::kind::piece:
        m_host.handle(request::attempt_output{ m_attempt, event->sequence, event->text, event->tokens });
        break;
    case api::engine_event::kind::finished:
        m_ended = true;
        m_host.handle(request::attempt_finished{ m_attempt, event->sequence, event->finishReason });
        break;
    case api::engine_event::kind::failed:
        m_ended = true;
        m_host.handle(request::attempt_failed{ m_attempt, event->failure, backend_server_id(event->text) });
        break;
    case api::engine_event::kind::done_mark:
        break;
    }
    return true;
}

} // namespace mustardtrail::entry

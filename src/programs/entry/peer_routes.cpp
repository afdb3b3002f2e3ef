#include "programs/entry/peer_routes.h"

#include "http/status.h"
#include "programs/entry/caller_error.h"
#include "programs/entry/hop_message.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::entry
{

namespace asio = boost::asio;

namespace
{

http::header_list eventHeaders()
{
    http::header_list headers;
    headers.add("Content-Type", "text/event-stream");
    return headers;
}

bool isLast(const node::reply_on_hop &reply)
{
    return std::holds_alternative<request::attempt_finished>(reply.event) || std::holds_alternative<request::attempt_failed>(reply.event);
}

asio::awaitable<std::string> rpcOnStrand(entry_host &host, std::shared_ptr<const std::string> text)
{
    co_return host.handleRpc(*text);
}

} // namespace

peer_routes::peer_routes(entry_host &host)
    : m_host(host)
{
}

asio::awaitable<void> peer_routes::serve(http::exchange &exchange)
{
    const auto path = exchange.request().path();
    if (path == hopPath && exchange.request().method == "POST") {
        co_await serveHop(exchange);
    } else if (path == "/rpc" && exchange.request().method == "POST") {
        co_await serveRpc(exchange);
    } else {
        co_await exchange.respond(badRequestAnswer(http::statusNotFound, static_cast<int>(error_code::request_unknown_path), path));
    }
}

asio::awaitable<void> peer_routes::serveRpc(http::exchange &exchange)
{
    std::string answer = co_await asio::co_spawn(m_host.strand(), rpcOnStrand(m_host, exchange.request().body), asio::use_awaitable);
    co_await exchange.respond(http::makeResponse(http::statusOk, std::move(answer), "application/json"));
}

asio::awaitable<void> peer_routes::serveHop(http::exchange &exchange)
{
    auto contents = hopContents(exchange.request(), m_host.clock().now());
    if (!contents) {
        const auto code = static_cast<int>(contents.error().code);
        co_await exchange.respond(badRequestAnswer(http::statusBadRequest, code, contents.error().detail));
        co_return;
    }
    const attempt_id attempt = contents->attempt.work.attempt;
    const time_point arrival = contents->attempt.work.arrival;
    const auto channel = std::make_shared<hop_channel>(exchange.executor());
    const auto leave = [this, attempt] {
        asio::post(m_host.strand(), [this, attempt] {
            m_host.hopGone(attempt);
        });
    };
    exchange.onDisconnect(leave);
    asio::post(m_host.strand(), [this, contents = std::move(*contents), channel] {
        m_host.addHop(contents.attempt, hop_session{ contents.content, channel });
    });
    if (!co_await exchange.startStream(200, eventHeaders())) {
        leave();
        co_return;
    }
    while (true) {
        const std::optional<node::reply_on_hop> reply = co_await channel->nextWithin(hopAliveInterval);
        const std::string text = reply ? hopReplyText(*reply, arrival) : std::string(hopAliveText);
        if (!co_await exchange.write(text)) {
            leave();
            co_return;
        }
        if (reply && isLast(*reply)) {
            co_await exchange.finishStream();
            co_return;
        }
    }
}

} // namespace mustardtrail::entry

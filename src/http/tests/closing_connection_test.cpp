#include "http/tests/http_harness.h"

#include "testing/expect.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <thread>

using namespace mustardtrail;
using namespace mustardtrail::http;
using mustardtrail::testing::expectEqual;
namespace asio = boost::asio;

namespace
{

/// Connection of a caller that is kept for several requests.
class kept_connection
{
public:
    explicit kept_connection(const endpoint &to)
        : m_socket(m_context)
    {
        m_socket.connect({ asio::ip::make_address(to.address), to.port });
    }

    void send(const std::string &bytes)
    {
        asio::write(m_socket, asio::buffer(bytes));
    }

    boost::system::error_code trySend(const std::string &bytes)
    {
        boost::system::error_code failure;
        asio::write(m_socket, asio::buffer(bytes), failure);
        return failure;
    }

    void readUntil(const std::string &end)
    {
        asio::read_until(m_socket, m_received, end);
        m_received.consume(m_received.size());
    }

    std::string readToEnd(boost::system::error_code &end)
    {
        std::string text;
        std::array<char, 1024> bytes{};
        while (true) {
            const size_t count = m_socket.read_some(asio::buffer(bytes), end);
            if (end) {
                return text;
            }
            text.append(bytes.data(), count);
        }
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    asio::streambuf m_received;
};

asio::awaitable<void> respondEmpty(exchange &incoming)
{
    co_await incoming.respond(response_message());
}

asio::awaitable<void> respondLarge(exchange &incoming, size_t bytes)
{
    response_message message;
    message.body.assign(bytes, 'x');
    co_await incoming.respond(std::move(message));
}

response_message refuseEmpty(int status, int, std::string_view)
{
    response_message message;
    message.status = status;
    return message;
}

asio::awaitable<void> streamUntilReleased(std::atomic<bool> &isReleased, exchange &incoming)
{
    co_await incoming.startStream(200, header_list());
    co_await incoming.write("begun");
    asio::steady_timer pause(incoming.executor());
    while (!isReleased) {
        pause.expires_after(std::chrono::milliseconds(5));
        boost::system::error_code ignored;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_await incoming.finishStream();
}

} // namespace

// A request that is read and thrown away ends without an answer, and its caller cannot tell that it has not run.
Test(http, aRequestThatCrossesTheCloseOfItsIdleConnectionIsNotReadAndDiscarded)
{
    http::testing::http_harness harness({}, respondEmpty);
    kept_connection caller(harness.address());
    const std::string request = "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    caller.send(request);
    caller.readUntil("\r\n\r\n");
    harness.httpServer().stop();
    boost::system::error_code end;
    caller.readToEnd(end);
    expectEqual(end.message(), make_error_code(asio::error::eof).message());
    caller.send(request);
    // The write after the reset has come reports it.
    expectEqual(caller.trySend(request).message(), make_error_code(asio::error::broken_pipe).message());
}

Test(http, aRequestThatCrossesTheIdleTimeOutOfItsConnectionIsNotReadAndDiscarded)
{
    server_limits limits;
    limits.idle = std::chrono::milliseconds(100);
    http::testing::http_harness harness(limits, respondEmpty);
    kept_connection caller(harness.address());
    const std::string request = "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    caller.send(request);
    caller.readUntil("\r\n\r\n");
    boost::system::error_code end;
    caller.readToEnd(end);
    expectEqual(end.message(), make_error_code(asio::error::eof).message());
    caller.send(request);
    expectEqual(caller.trySend(request).message(), make_error_code(asio::error::broken_pipe).message());
}

// Its bytes came before the end of the wait for them.
Test(http, aRequestThatHasArrivedAtAnIdleConnectionIsServedAlthoughTheServerStops)
{
    asio::io_context context;
    server stopping(context.get_executor(), {}, respondEmpty, refuseEmpty);
    kept_connection caller(stopping.listen({ "127.0.0.1", 0 }).value());
    context.run_for(std::chrono::milliseconds(50));
    caller.send("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    stopping.stop();
    context.run();
    boost::system::error_code end;
    const std::string received = caller.readToEnd(end);
    cr_assert(received.starts_with("HTTP/1.1 200"), "no answer: %s", end.message().c_str());
}

Test(http, aRequestWhoseConnectionIsNotAcceptedYetIsServedAlthoughTheServerStops)
{
    asio::io_context context;
    server stopping(context.get_executor(), {}, respondEmpty, refuseEmpty);
    const endpoint address = stopping.listen({ "127.0.0.1", 0 }).value();
    context.run_for(std::chrono::milliseconds(50));
    kept_connection first(address);
    kept_connection second(address);
    const std::string request = "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    first.send(request);
    second.send(request);
    stopping.stop();
    context.run();
    for (kept_connection *caller : { &first, &second }) {
        boost::system::error_code end;
        const std::string received = caller->readToEnd(end);
        cr_assert(received.starts_with("HTTP/1.1 200"), "no answer: %s", end.message().c_str());
    }
}

// A reset would take the part of the response along that the caller has not made room for.
Test(http, aRequestBehindAnUnreadResponseDoesNotCostTheResponseWhenTheServerStops)
{
    constexpr size_t responseBytes = 2 * 1024 * 1024; // More than a receive buffer takes at once, less than is sent without waiting.
    http::testing::http_harness harness({}, [](exchange &incoming) {
        return respondLarge(incoming, responseBytes);
    });
    kept_connection caller(harness.address());
    const std::string request = "GET / HTTP/1.1\r\n\r\n";
    caller.send(request);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    harness.httpServer().stop();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    caller.send(request);
    boost::system::error_code end;
    cr_assert(caller.readToEnd(end).size() >= responseBytes);
}

// The answer to the first request promised that the connection is kept.
Test(http, aRequestThatArrivedBehindAStreamIsServedAlthoughTheServerStops)
{
    std::atomic<bool> isReleased{ false };
    http::testing::http_harness harness({}, [&](exchange &incoming) {
        return streamUntilReleased(isReleased, incoming);
    });
    kept_connection caller(harness.address());
    const std::string request = "GET / HTTP/1.1\r\n\r\n";
    caller.send(request);
    caller.readUntil("begun");
    caller.send(request);
    harness.httpServer().stop();
    isReleased = true;
    boost::system::error_code end;
    const std::string rest = caller.readToEnd(end);
    cr_assert(rest.find("HTTP/1.1 200") != std::string::npos, "no answer to the second request in: %s", rest.c_str());
}

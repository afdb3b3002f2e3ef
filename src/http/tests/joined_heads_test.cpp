// A server sent the beginning of an earlier refusal before its answer on a kept connection: both were read as one head, and a
// request that had run was taken for one that had not.

#include "http/client.h"
#include "http/tests/raw_server.h"

#include "testing/expect.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

using namespace mustardtrail;
using namespace mustardtrail::http;
using mustardtrail::http::testing::raw_connection;
using mustardtrail::http::testing::raw_server;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const std::string answer
    = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nKeep-Alive: timeout=60\r\nResponse-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n";
const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

/// The second request of each connection gets these bytes before its answer.
raw_server::script sendsBeforeTheSecondAnswer(std::string bytes)
{
    return [bytes = std::move(bytes)](raw_connection &connection) -> boost::asio::awaitable<void> {
        co_await connection.send(answer);
        if (co_await connection.readRequest()) {
            co_await connection.send(bytes + answer);
            co_await connection.waitUntilClosed();
        }
    };
}

boost::asio::awaitable<result<response_message>> secondOf(client &caller, endpoint to)
{
    const auto limits = call_limits::within(milliseconds(3'000));
    auto first = co_await caller.call(to, request_message(), limits);
    cr_assert(first.has_value());
    auto second = co_await caller.call(to, request_message(), limits);
    co_return second;
}

result<response_message> secondAnswerAfter(const std::string &bytes)
{
    boost::asio::io_context context;
    const raw_server server(context.get_executor(), sendsBeforeTheSecondAnswer(bytes));
    client caller(context.get_executor());
    std::optional<result<response_message>> second;
    boost::asio::co_spawn(context, secondOf(caller, server.address()), [&](std::exception_ptr, result<response_message> got) {
        second = std::move(got);
        context.stop();
    });
    context.run();
    return *second;
}

std::string textOf(const result<response_message> &got)
{
    return got ? "status " + std::to_string(got->status) : std::string(toString(got.error().outcome));
}

void expectNoAnswerAfterTheBeginningOf(const std::string &whole)
{
    for (size_t bytes = 1; bytes < whole.size(); ++bytes) {
        const std::string part = whole.substr(0, bytes);
        expectEqual(textOf(secondAnswerAfter(part)) + " after " + part, std::string(toString(verdict::may_have_run)) + " after " + part);
    }
}

} // namespace

Test(joined_heads, areNoAnswerWhereverTheFirstOneIsCut)
{
    expectNoAnswerAfterTheBeginningOf(refusal);
}

Test(joined_heads, areNoAnswerIfTheFirstOneIsInterim)
{
    expectNoAnswerAfterTheBeginningOf(interim);
}

Test(joined_heads, areNotSeenInValuesThatNameTheProtocol)
{
    for (const std::string name : { "Upgrade: HTTP/2.0", "Via: HTTP/1.1 proxy", "Server: HTTP/1.1" }) {
        expectEqual(textOf(secondAnswerAfter("HTTP/1.1 103 Early Hints\r\n" + name + "\r\n\r\n")), "status 200");
    }
}

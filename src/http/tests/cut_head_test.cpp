// A server ended within the head of its answer, and the caller got a success with an empty or short body.

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

const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 12\r\nResponse-Stamp: s\r\n\r\nall of it ok";
const std::string chunkedAnswer
    = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nall o\r\n7\r\nf it ok\r\n0\r\n\r\n";

enum class ending { in_order, reset };

boost::asio::awaitable<void> sendPart(raw_connection &connection, std::string bytes, ending end)
{
    co_await connection.send(std::move(bytes));
    if (end == ending::reset) {
        co_await connection.pause(milliseconds(2)); // The bytes are to be read before the reset arrives.
        connection.reset();
    }
}

raw_server::script endsAfter(const std::string &answer, size_t bytes, ending end)
{
    return [part = answer.substr(0, bytes), end](raw_connection &connection) {
        return sendPart(connection, part, end);
    };
}

/// The second request of each connection gets the part.
raw_server::script endsInTheSecondAnswer(const std::string &answer, size_t bytes)
{
    return [answer, bytes](raw_connection &connection) -> boost::asio::awaitable<void> {
        co_await connection.send(answer);
        if (co_await connection.readRequest()) {
            co_await connection.send(answer.substr(0, bytes));
        }
    };
}

boost::asio::awaitable<result<response_message>> lastOf(client &caller, endpoint to, int calls)
{
    result<response_message> answer;
    for (int call = 0; call < calls; ++call) {
        request_message message;
        answer = co_await caller.call(to, std::move(message), call_limits::within(milliseconds(3'000)));
    }
    co_return answer;
}

result<response_message> lastAnswer(raw_server::script serve, int calls)
{
    boost::asio::io_context context;
    const raw_server server(context.get_executor(), std::move(serve));
    client caller(context.get_executor());
    std::optional<result<response_message>> answer;
    boost::asio::co_spawn(context, lastOf(caller, server.address(), calls), [&](std::exception_ptr, result<response_message> got) {
        answer = std::move(got);
        context.stop();
    });
    context.run();
    return *answer;
}

/// Says what came after the part.
std::string textOf(const result<response_message> &answer, const std::string &part)
{
    const std::string got = answer ? "status " + std::to_string(answer->status)
                                   : std::string(toString(answer.error().code)) + " " + std::string(toString(answer.error().outcome));
    return got + " after \"" + part + "\"";
}

void expectNoAnswer(const result<response_message> &answer, const std::string &part)
{
    const result<response_message> lost = tl::unexpected(error{ error_code::backend_connection_lost, verdict::may_have_run, {}, {} });
    expectEqual(textOf(answer, part), textOf(lost, part));
}

void expectNoAnswerBeforeTheEndOf(const std::string &whole)
{
    for (size_t bytes = 0; bytes < whole.size(); ++bytes) {
        for (const ending end : { ending::in_order, ending::reset }) {
            expectNoAnswer(lastAnswer(endsAfter(whole, bytes, end), 1), whole.substr(0, bytes));
        }
        expectNoAnswer(lastAnswer(endsInTheSecondAnswer(whole, bytes), 2), whole.substr(0, bytes));
    }
    const auto answer = lastAnswer(endsAfter(whole, whole.size(), ending::in_order), 1);
    expectEqual(answer ? answer->body : toString(answer.error().code), std::string("all of it ok"));
}

} // namespace

Test(cut_head, isNoAnswerWhereverItEnds)
{
    expectNoAnswerBeforeTheEndOf(wholeAnswer);
}

Test(cut_head, isNoAnswerWhereverItEndsIfTheBodyIsInChunks)
{
    expectNoAnswerBeforeTheEndOf(chunkedAnswer);
}

Test(cut_head, ofAnAnswerWithoutALengthIsNoAnswer)
{
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Stamp: s\r\n\r\n";
    for (size_t bytes = 0; bytes < head.size(); ++bytes) {
        expectNoAnswer(lastAnswer(endsAfter(head, bytes, ending::in_order), 1), head.substr(0, bytes));
    }
}

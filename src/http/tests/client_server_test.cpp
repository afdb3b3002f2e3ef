#include "http/tests/http_harness.h"

#include "testing/expect.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <future>

using namespace mustardtrail;
using namespace mustardtrail::http;
using mustardtrail::testing::expectEqual;

namespace
{

response_message echoOf(const request_message &request)
{
    return { 200, { { "X-Path", std::string(request.path()) } }, request.query("q") + *request.body };
}

boost::asio::awaitable<void> echo(exchange &incoming)
{
    co_await incoming.respond(echoOf(incoming.request()));
}

boost::asio::awaitable<void> threePieces(exchange &incoming)
{
    co_await incoming.startStream(200, header_list());
    co_await incoming.write("one ");
    co_await incoming.write("two ");
    co_await incoming.write("three");
    co_await incoming.finishStream();
}

boost::asio::awaitable<void> truncatedStream(exchange &incoming)
{
    co_await incoming.startStream(200, header_list());
    co_await incoming.write("half");
}

// A free function, as coroutine lambdas conflict with the C linkage that the test macro gives to a test body.
boost::asio::awaitable<void> callClosedPort(client &caller, endpoint closedPort, std::optional<result<response_message>> &answer)
{
    answer = co_await caller.call(closedPort, request_message(), call_limits());
}

boost::asio::awaitable<void> closeAFinishedCallDuringTheNext(client &caller, endpoint to, std::optional<result<response_message>> &second)
{
    std::function<void()> closeFirst;
    call_limits limits;
    limits.onConnection = [&closeFirst](std::function<void()> close) {
        closeFirst = std::move(close);
    };
    const auto first = co_await caller.call(to, request_message(), limits);
    limits.onConnection = [&closeFirst](std::function<void()>) {
        closeFirst();
    };
    if (first) {
        second = co_await caller.call(to, request_message(), limits);
    }
}

boost::asio::awaitable<void> countAndRespond(std::atomic<int> &served, exchange &incoming)
{
    ++served;
    co_await incoming.respond(response_message());
}

boost::asio::awaitable<void> waitForDisconnect(std::promise<void> &disconnected, exchange &incoming)
{
    boost::asio::steady_timer wait(incoming.executor(), std::chrono::seconds(20));
    incoming.onDisconnect([&] {
        disconnected.set_value();
        wait.cancel();
    });
    boost::system::error_code ignored;
    co_await wait.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

request_message post(std::string target, std::string body)
{
    request_message message;
    message.method = "POST";
    message.target = std::move(target);
    message.body = std::make_shared<const std::string>(std::move(body));
    return message;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(http, carriesABodyOfSeveralMegabytesBothWays)
{
    http::testing::http_harness harness({}, echo);
    const std::string body(5 * 1024 * 1024, 'x');
    const auto answer = harness.call(post("/a?q=1%202", body));
    cr_assert(answer.has_value());
    expectEqual(std::string(answer->headers.find("x-path")), "/a");
    expectEqual(answer->body.size(), body.size() + 3);
    cr_assert(answer->body.starts_with("1 2x"));
    expectEqual(harness.httpServer().bodyBytesHeld(), size_t{ 0 });
}

Test(http, splicesAPrefixBeforeTheSharedBody)
{
    http::testing::http_harness harness({}, echo);
    request_message message = post("/", "{\"a\":1}");
    message.bodyPrefix = "{\"b\":2,";
    message.bodySkip = 1;
    expectEqual(harness.call(message)->body, "{\"b\":2,\"a\":1}");
}

Test(http, reassemblesAStreamedResponse)
{
    http::testing::http_harness harness({}, threePieces);
    expectEqual(harness.call({})->body, "one two three");
}

Test(http, reportsATruncatedResponseAsMayHaveRun)
{
    http::testing::http_harness harness({}, truncatedStream);
    const auto answer = harness.call({});
    cr_assert(!answer.has_value());
    expectEqual(toString(answer.error().outcome), toString(verdict::may_have_run));
}

Test(http, reportsARefusedConnectionAsNotRun)
{
    http::testing::http_harness harness({}, echo);
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor closed(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const endpoint closedPort{ "127.0.0.1", closed.local_endpoint().port() };
    closed.close();
    client caller(context.get_executor());
    std::optional<result<response_message>> answer;
    boost::asio::co_spawn(context, callClosedPort(caller, closedPort, answer), boost::asio::detached);
    context.run();
    cr_assert(!answer->has_value());
    expectEqual(toString(answer->error().outcome), toString(verdict::not_run));
    expectEqual(toString(answer->error().code), toString(error_code::backend_connect_failed));
}

Test(http, callsBeforeSendAndSendsNothingWhenItFails)
{
    std::atomic<int> served{ 0 };
    http::testing::http_harness harness({}, [&](exchange &incoming) {
        return countAndRespond(served, incoming);
    });
    call_limits limits;
    limits.beforeSend = [] {
        return error{ error_code::view_not_confirmed, verdict::not_run, "", {} };
    };
    const auto answer = harness.call({}, limits);
    cr_assert(!answer.has_value());
    expectEqual(toString(answer.error().code), toString(error_code::view_not_confirmed));
    expectEqual(served.load(), 0);
}

Test(http, refusesOversizedTruncatedMalformedAndSlowRequests)
{
    server_limits limits;
    limits.bodyBytes = 100;
    limits.progress = std::chrono::milliseconds(100);
    http::testing::http_harness harness(limits, echo);
    cr_assert(contains(harness.raw("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"), "413"));
    cr_assert(contains(harness.raw("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"), "X-Code: 3003"));
    cr_assert(contains(harness.raw("not http\r\n\r\n"), "X-Code: 3001"));
    cr_assert(contains(harness.raw("GET / HTTP/1.1\r\nA: " + std::string(20'000, 'a') + "\r\n\r\n"), "X-Code: 3002"));
    cr_assert(contains(harness.raw("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", false), "X-Code: 3009"));
}

Test(http, refusesBodiesOverTheMemoryBudgetOfTheProcess)
{
    server_limits limits;
    limits.totalBodyBytes = 1000;
    http::testing::http_harness harness(limits, echo);
    expectEqual(harness.call(post("/", std::string(1001, 'x')))->status, 503);
    expectEqual(harness.call(post("/", std::string(900, 'x')))->status, 200);
}

Test(http, notifiesTheHandlerWhenTheCallerDisconnects)
{
    std::promise<void> disconnected;
    http::testing::http_harness harness({}, [&](exchange &incoming) {
        return waitForDisconnect(disconnected, incoming);
    });
    harness.raw("GET / HTTP/1.1\r\n\r\n");
    cr_assert(disconnected.get_future().wait_for(std::chrono::seconds(10)) == std::future_status::ready);
}

Test(http, reusesAConnectionForTheNextRequest)
{
    http::testing::http_harness harness({}, echo);
    const std::string answer = harness.raw("GET /?q=1 HTTP/1.1\r\n\r\nGET /?q=2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    cr_assert(contains(answer, "\r\n\r\n1HTTP/1.1"));
    cr_assert(answer.ends_with("\r\n\r\n2"));
}

Test(http, closingAFinishedCallDoesNotCloseTheConnectionOfTheNextOne)
{
    http::testing::http_harness harness({}, echo);
    boost::asio::io_context context;
    client caller(context.get_executor());
    std::optional<result<response_message>> second;
    boost::asio::co_spawn(context, closeAFinishedCallDuringTheNext(caller, harness.address(), second), boost::asio::detached);
    context.run();
    cr_assert(second.has_value());
    cr_assert(second->has_value(), "%s", second->error().detail.c_str());
}

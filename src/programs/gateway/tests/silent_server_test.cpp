#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <thread>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const std::string wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

// Criterion runs each test in its own process, so these counters start at zero in each test.
int sends = 0;
std::atomic<int> runs = 0;
int refusals = 0;
int pausingServer = 0;

http::header_list signedHeaders()
{
    return { { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
}

boost::asio::awaitable<void> pauseFor(http::exchange &exchange, milliseconds time)
{
    boost::asio::steady_timer timer(exchange.executor(), time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

boost::asio::awaitable<void> refuse(http::exchange &exchange)
{
    http::response_message answer;
    answer.status = 503;
    answer.headers.add("Attempt-Id", "a1");
    answer.headers.add("Not-Run", "1");
    co_await exchange.respond(std::move(answer));
}

/// Silent for longer than any stall time-out after its second event, then goes on.
boost::asio::awaitable<void> streamWithPause(http::exchange &exchange)
{
    ++runs;
    auto head = signedHeaders();
    co_await exchange.startStream(200, std::move(head));
    co_await exchange.write("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    co_await pauseFor(exchange, milliseconds(1'500));
    const bool isOpen = co_await exchange.write("id: 3\ndata: c\n\n");
    if (isOpen) {
        co_await exchange.finishStream();
    }
}

boost::asio::awaitable<void> refuseAllButTheFirst(http::exchange &exchange)
{
    if (sends++ == 0) {
        co_await streamWithPause(exchange);
    } else {
        co_await refuse(exchange);
    }
}

boost::asio::awaitable<void> breakOffAllButTheFirst(http::exchange &exchange)
{
    if (sends++ == 0) {
        co_await streamWithPause(exchange);
        co_return;
    }
    runs += fake_platform::isQuestion(exchange) ? 0 : 1;
    auto head = signedHeaders();
    co_await exchange.startStream(200, std::move(head));
    co_await exchange.write("id: 3\nda");
}

boost::asio::awaitable<void> fallSilentTwice(http::exchange &exchange)
{
    if (sends++ == 0) {
        co_await streamWithPause(exchange);
        co_return;
    }
    ++runs;
    co_await pauseFor(exchange, milliseconds(1'500));
}

boost::asio::awaitable<void> fallSilentForGood(http::exchange &exchange)
{
    ++runs;
    auto head = signedHeaders();
    co_await exchange.startStream(200, std::move(head));
    if (sends++ == 0) {
        co_await exchange.write("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        co_await pauseFor(exchange, milliseconds(6'000));
        co_return;
    }
    co_await exchange.write("id: 3\ndata: c\n\n");
    co_await exchange.finishStream();
}

/// Ends the second answer, as complete, within its first event.
boost::asio::awaitable<void> endTheSecondAnswerWithinAnEvent(http::exchange &exchange)
{
    if (sends++ == 0) {
        co_await streamWithPause(exchange);
        co_return;
    }
    runs += fake_platform::isQuestion(exchange) ? 0 : 1;
    auto head = signedHeaders();
    co_await exchange.startStream(200, std::move(head));
    co_await exchange.write("id: 3\nda");
    co_await exchange.finishStream();
}

boost::asio::awaitable<void> fallSilentTwiceForGood(http::exchange &exchange)
{
    if (sends++ < 2) {
        co_await pauseFor(exchange, milliseconds(6'000));
        co_return;
    }
    http::response_message answer{ 200, signedHeaders(), "whole" };
    co_await exchange.respond(std::move(answer));
}

/// The server that is asked first pauses in its first stream; the other one always asks for quiet.
boost::asio::awaitable<void> pauseOrAskForQuiet(int server, http::exchange &exchange)
{
    pausingServer = sends++ == 0 ? server : pausingServer;
    if (server == pausingServer && sends == 1) {
        co_await streamWithPause(exchange);
        co_return;
    }
    if (server == pausingServer) {
        auto head = signedHeaders();
        co_await exchange.startStream(200, std::move(head));
        co_await exchange.write(wholeStream);
        co_await exchange.finishStream();
        co_return;
    }
    ++refusals;
    http::response_message answer;
    answer.status = 503;
    answer.headers.add("Attempt-Id", "a1");
    answer.headers.add("Not-Run", "1");
    answer.headers.add("Retry-After", "5.0");
    co_await exchange.respond(std::move(answer));
}

boost::asio::awaitable<void> pauseBeforeTheHead(http::exchange &exchange)
{
    if (sends++ > 0) {
        co_await refuse(exchange);
        co_return;
    }
    ++runs;
    co_await pauseFor(exchange, milliseconds(1'000));
    http::response_message answer{ 200, signedHeaders(), "whole" };
    co_await exchange.respond(std::move(answer));
}

/// Never silent for long: an event every 300 ms.
boost::asio::awaitable<void> streamSteadily(http::exchange &exchange)
{
    ++runs;
    auto head = signedHeaders();
    co_await exchange.startStream(200, std::move(head));
    for (int id = 1; id <= 11; ++id) {
        const std::string event = "id: " + std::to_string(id) + "\ndata: a\n\n";
        co_await exchange.write(event);
        co_await pauseFor(exchange, milliseconds(300));
    }
    co_await exchange.finishStream();
}

http::response_message emptyAnswer(int status, int, std::string_view)
{
    http::response_message message;
    message.status = status;
    return message;
}

/// Backend server on a thread of its own.
class threaded_server
{
public:
    explicit threaded_server(http::handler serve)
        : m_server(m_context.get_executor(), http::server_limits(), std::move(serve), emptyAnswer)
        , m_address(*m_server.listen({ "127.0.0.1", 0 }))
        , m_thread([this] {
            m_context.run();
        })
    {
    }
    ~threaded_server()
    {
        m_context.stop();
        m_thread.join();
    }
    const endpoint &address() const
    {
        return m_address;
    }

private:
    boost::asio::io_context m_context;
    http::server m_server;
    endpoint m_address;
    std::thread m_thread;
};

} // namespace

Test(silent_server, aServerIsNotTakenForSilentWhenThisInstanceStoodStill)
{
    const threaded_server first(streamSteadily);
    const threaded_server second(streamSteadily);
    fake_platform platform;
    platform.addServerAt("i-1", "reading", first.address());
    platform.addServerAt("i-2", "reading", second.address());
    platform.start();
    platform.blockAfter(milliseconds(200), milliseconds(1'200));
    platform.blockAfter(milliseconds(1'700), milliseconds(1'200));
    const caller_answer answer = platform.call("/stream/x");
    cr_assert(answer.isComplete);
    expectEqual(runs.load(), 1);
}

Test(silent_server, aStreamIsNotLostWhenTheOtherServerRefusesToContinueIt)
{
    fake_platform platform;
    platform.addServer("i-1", "reading", refuseAllButTheFirst);
    platform.addServer("i-2", "reading", refuseAllButTheFirst);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, wholeStream);
    cr_assert(answer.isComplete);
}

Test(silent_server, aStreamIsNotLostWhenTheOtherServerBreaksItOff)
{
    fake_platform platform;
    platform.addServer("i-1", "reading", breakOffAllButTheFirst);
    platform.addServer("i-2", "reading", breakOffAllButTheFirst);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, wholeStream);
    cr_assert(answer.isComplete);
    expectEqual(runs.load(), 2);
}

Test(silent_server, aStreamIsNotLostWhenTheOtherServerIsSilentToo)
{
    fake_platform platform;
    platform.addServer("i-1", "reading", fallSilentTwice);
    platform.addServer("i-2", "reading", fallSilentTwice);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, wholeStream);
    cr_assert(answer.isComplete);
    cr_assert_leq(runs.load(), 2);
}

Test(silent_server, aStreamIsNotLostWhenItsServerNeverSpeaksAgain)
{
    fake_platform platform;
    platform.addServer("i-1", "reading", fallSilentForGood);
    platform.addServer("i-2", "reading", fallSilentForGood);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, wholeStream);
    cr_assert(answer.isComplete);
    expectEqual(runs.load(), 2);
}

Test(silent_server, aRequestWithoutAnswerYetIsNotFailedWhenTheOtherServerRefusesIt)
{
    fake_platform platform;
    platform.addServer("i-1", "desk", pauseBeforeTheHead);
    platform.addServer("i-2", "desk", pauseBeforeTheHead);
    platform.start();
    const caller_answer answer = platform.call("/again/x");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "whole");
}

Test(silent_server, aStreamIsNotLostWhenThereIsNoOtherServer)
{
    fake_platform platform;
    platform.addServer("i-1", "reading", streamWithPause);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, wholeStream);
    cr_assert(answer.isComplete);
    expectEqual(runs.load(), 1);
}

Test(silent_server, aStreamIsNotLostWhenTheOtherServerEndsItsAnswerWithinAnEvent)
{
    fake_platform platform;
    platform.addServer("i-1", "reading", endTheSecondAnswerWithinAnEvent);
    platform.addServer("i-2", "reading", endTheSecondAnswerWithinAnEvent);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, wholeStream);
    cr_assert(answer.isComplete);
    expectEqual(runs.load(), 2);
}

Test(silent_server, aSecondSendThatIsAskedForQuietIsHeeded)
{
    fake_platform platform;
    for (int server = 1; server <= 2; ++server) {
        platform.addServer("i-" + std::to_string(server), "reading", [server](http::exchange &exchange) {
            return pauseOrAskForQuiet(server, exchange);
        });
    }
    platform.start();
    for (int count = 0; count < 20; ++count) {
        expectEqual(platform.call("/stream/x").body, wholeStream);
    }
    expectEqual(refusals, 1);
}

Test(silent_server, aThirdServerIsAskedWhenTheSecondIsSilentToo)
{
    fake_platform platform;
    for (int server = 1; server <= 3; ++server) {
        platform.addServer("i-" + std::to_string(server), "desk", fallSilentTwiceForGood);
    }
    platform.start();
    const caller_answer answer = platform.call("/thrice/x");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "whole");
}

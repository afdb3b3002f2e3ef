// Requests that a stopping instance could not finish were taken, and cut when its process ended.

#include "programs/gateway/tests/fake_platform.h"
#include "testing/expect.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds stopGrace{ 6'000 };
constexpr milliseconds acceptTime{ 2'500 }; ///< From the stop until no request is taken any more.
constexpr milliseconds processTime = stopGrace - milliseconds(600); ///< From the stop until the process ends.
constexpr int usualStreams = 12; ///< More than the least number of streams that show how long one lasts.
constexpr int engineSlots = 4;
constexpr std::uint16_t callerPort = 8'001; ///< Of all instances of the fake platform.

const std::string refused = "503 {\"error\":\"instance_ends\"}";

// Criterion runs each test in its own process, so these values start anew in each test.
int sends = 0;

std::string requestTo(const std::string &path, const std::string &fields = "")
{
    return "POST " + path
        + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nConnection: close\r\nDeadline-Ms: 9000\r\nAuthorization: Token secret\r\n"
        + fields + "Content-Length: 8\r\n\r\nquestion";
}

/// Streams that last this long from the first event to the end.
fake_platform::backend streamFor(milliseconds length)
{
    return [length](http::exchange &exchange) -> asio::awaitable<void> {
        constexpr milliseconds pause{ 100 };
        ++sends;
        const http::header_list headers{ { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
        co_await exchange.startStream(200, headers);
        asio::steady_timer timer(exchange.executor(), std::chrono::steady_clock::now());
        const auto end = timer.expiry() + length;
        bool isOpen = true;
        for (int event = 1; isOpen && timer.expiry() <= end; ++event) {
            isOpen = co_await exchange.write("id: " + std::to_string(event) + "\ndata: a\n\n");
            timer.expires_at(timer.expiry() + pause);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await exchange.finishStream();
    };
}

asio::awaitable<void> answerAtOnce(http::exchange &exchange)
{
    ++sends;
    http::response_message message;
    message.headers = { { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
    co_await exchange.respond(std::move(message));
}

bool isWhole(const raw_caller &caller)
{
    return caller.onlyAnswer().starts_with("200 ");
}

/// Lets the instance see how long the streams of the path last.
void serveUsualStreams(fake_platform &platform, const std::string &request, milliseconds length, int atOnce = usualStreams)
{
    for (int served = 0; served < usualStreams; served += atOnce) {
        std::vector<raw_caller> callers;
        for (int number = 0; number < atOnce; ++number) {
            callers.push_back(platform.openCaller(request));
        }
        platform.runFor(length + milliseconds(500));
        for (const raw_caller &caller : callers) {
            cr_assert(isWhole(caller), "%s", caller.onlyAnswer().c_str());
        }
    }
}

/// What is received on a connection that was written to while the event loop stood still.
std::string answerToARequestInABlock(milliseconds blockedAt, milliseconds sentAt, milliseconds runsAgainAt)
{
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "desk", answerAtOnce);
    platform.start();
    const std::string request = requestTo("/again/x");
    asio::ip::tcp::socket socket(platform.executor());
    socket.connect({ asio::ip::make_address(platform.readinessAddress().address), callerPort });
    platform.runFor(milliseconds(50));
    platform.stopFirstInstance();
    asio::steady_timer block(platform.executor(), blockedAt);
    block.async_wait([&](boost::system::error_code) {
        std::this_thread::sleep_for(sentAt - blockedAt);
        asio::write(socket, asio::buffer(request));
        std::this_thread::sleep_for(runsAgainAt - sentAt);
    });
    platform.runFor(runsAgainAt + milliseconds(500));
    std::string received(socket.available(), '\0');
    asio::read(socket, asio::buffer(received));
    return received;
}

bool isRefused(const std::string &received)
{
    return received.starts_with("HTTP/1.1 503 ") && received.ends_with("{\"error\":\"instance_ends\"}");
}

} // namespace

Test(late_request, aStreamThatCannotEndBeforeTheProcessIsRefusedAtOnceAsNotRun)
{
    constexpr milliseconds length{ 3'500 };
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "reading", streamFor(length));
    platform.start();
    serveUsualStreams(platform, requestTo("/stream/x"), length);
    const int before = sends;
    platform.stopFirstInstance();
    platform.runFor(acceptTime - milliseconds(200));
    const raw_caller caller = platform.openCaller(requestTo("/stream/x"));
    platform.runFor(milliseconds(600));
    expectEqual(caller.onlyAnswer(), refused);
    expectEqual(sends, before);
}

Test(late_request, aStreamThatEndsBeforeTheProcessIsServed)
{
    constexpr milliseconds length{ 2'000 };
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "reading", streamFor(length));
    platform.start();
    serveUsualStreams(platform, requestTo("/stream/x"), length);
    platform.stopFirstInstance();
    platform.runFor(acceptTime - milliseconds(200));
    const raw_caller caller = platform.openCaller(requestTo("/stream/x"));
    platform.runFor(processTime - acceptTime);
    cr_assert(isWhole(caller), "%s", caller.onlyAnswer().c_str());
}

Test(late_request, aStreamOfUnknownLengthIsServed)
{
    constexpr milliseconds length{ 2'000 };
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "reading", streamFor(length));
    platform.start();
    platform.stopFirstInstance();
    platform.runFor(acceptTime - milliseconds(200));
    const raw_caller caller = platform.openCaller(requestTo("/stream/x"));
    platform.runFor(processTime - acceptTime);
    cr_assert(isWhole(caller), "%s", caller.onlyAnswer().c_str());
}

// It would otherwise wait until the final answers.
Test(late_request, aRequestThatWaitsIsRefusedOnceItsStreamCannotEndBeforeTheProcess)
{
    constexpr milliseconds length{ 2'200 };
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "batch", streamFor(length));
    platform.start();
    const std::string request = requestTo("/queue/x", "Token-Counts: 60,10\r\n");
    serveUsualStreams(platform, request, length, engineSlots);
    const int before = sends;
    const raw_caller first = platform.openCaller(requestTo("/queue/x", "Token-Counts: 900,50\r\n"));
    platform.runFor(milliseconds(60));
    platform.stopFirstInstance();
    platform.runFor(milliseconds(1'000));
    const raw_caller second = platform.openCaller(requestTo("/queue/x", "Token-Counts: 900,50\r\n"));
    const raw_caller third = platform.openCaller(requestTo("/queue/x", "Token-Counts: 900,50\r\n"));
    platform.runFor(milliseconds(2'700)); // Before the final answers.
    cr_assert(isWhole(first), "%s", first.onlyAnswer().c_str());
    expectEqual((second.onlyAnswer() == refused ? 1 : 0) + (third.onlyAnswer() == refused ? 1 : 0), 1);
    platform.runFor(processTime - milliseconds(3'700));
    const bool isOneWhole = isWhole(second) || isWhole(third);
    cr_assert(isOneWhole, "%s %s", second.onlyAnswer().c_str(), third.onlyAnswer().c_str());
    expectEqual(sends, before + 2);
}

// The timer that ends the acceptance fires late in an event loop that stood still.
Test(late_request, aRequestThatArrivesAfterTheAcceptanceInABlockedProcessIsRefusedAsNotRun)
{
    const std::string received
        = answerToARequestInABlock(acceptTime - milliseconds(200), acceptTime + milliseconds(200), acceptTime + milliseconds(500));
    cr_assert(isRefused(received), "%s", received.c_str());
    expectEqual(sends, 0);
}

Test(late_request, aRequestThatArrivesBeforeTheEndOfTheAcceptanceInABlockedProcessIsAnswered)
{
    const std::string received
        = answerToARequestInABlock(acceptTime - milliseconds(400), acceptTime - milliseconds(200), acceptTime + milliseconds(500));
    const bool isServed = received.starts_with("HTTP/1.1 200 ");
    cr_assert(isServed || isRefused(received), "%s", received.c_str());
    expectEqual(sends, isServed ? 1 : 0);
}

#include "programs/gateway/tests/engine_memory.h"
#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <vector>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds stopGrace{ 3'500 };

int sends = 0;
int grants = 0;

boost::asio::awaitable<void> answerAfterTheStop(http::exchange &exchange)
{
    ++sends;
    boost::asio::steady_timer timer(exchange.executor(), milliseconds(6'000));
    co_await timer.async_wait(boost::asio::use_awaitable);
}

std::string requestTo(const std::string &path, const std::string &tokens)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 5000\r\nAuthorization: Token secret\r\n"
        + tokens + "Content-Length: 8\r\n\r\nquestion";
}

boost::asio::awaitable<void> answerAtOnce(http::exchange &exchange)
{
    ++sends;
    http::response_message message;
    message.headers = { { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
    co_await exchange.respond(std::move(message));
}

boost::asio::awaitable<void> answerAfter50Ms(http::exchange &exchange)
{
    boost::asio::steady_timer timer(exchange.executor(), milliseconds(50));
    co_await timer.async_wait(boost::asio::use_awaitable);
    co_await answerAtOnce(exchange);
}

/// Engines of one service that take as long to reserve memory as a call may last, nearly.
http::handler engineThatReservesSlowly(engine_memory &memory)
{
    return [&memory](http::exchange &exchange) -> boost::asio::awaitable<void> {
        if (!engine_memory::isOrder(exchange)) {
            co_await answerAtOnce(exchange);
            co_return;
        }
        if (exchange.request().body->find("release") == std::string::npos) {
            boost::asio::steady_timer timer(exchange.executor(), milliseconds(250));
            co_await timer.async_wait(boost::asio::use_awaitable);
            ++grants;
        }
        co_await memory.serve(exchange);
    };
}

// Ends between the final answers of an instance that has `stopGrace` to stop and the end of its process.
boost::asio::awaitable<void> streamUntilTheStopIsNear(http::exchange &exchange)
{
    constexpr int events = 14;
    constexpr milliseconds pause{ 200 };
    boost::asio::steady_timer timer(exchange.executor(), std::chrono::steady_clock::now());
    const http::header_list headers{ { "Attempt-Id", "a1" }, { "Response-Stamp", "stamp" } };
    co_await exchange.startStream(200, headers);
    for (int event = 1; event <= events; ++event) {
        co_await exchange.write("id: " + std::to_string(event) + "\ndata: a\n\n");
        timer.expires_at(timer.expiry() + pause);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_await exchange.finishStream();
}

/// Answer to a request that arrives shortly before the final answers and whose server is not reached, while the process is blocked
/// from 900 ms before its kill.
std::string answerOfAProcessBlockedAtItsEnd(milliseconds blocked)
{
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "desk", answerAtOnce);
    platform.start();
    platform.cutFirstInstanceFromServers();
    const std::string request = requestTo("/once/x", "");
    const size_t lastByte = request.size() - 1;
    raw_caller caller = platform.openCaller(request.substr(0, lastByte));
    platform.stopFirstInstance();
    platform.blockAfter(stopGrace - milliseconds(900), blocked);
    platform.runFor(stopGrace - milliseconds(1'050));
    caller.send(request.substr(lastByte));
    platform.runFor(milliseconds(1'500));
    return caller.onlyAnswer();
}

} // namespace

// A request that is still waiting when the process ends must be told that it has not run.
Test(stopping_instance, aRequestThatWaitsForCapacityIsRefusedBeforeTheProcessEnds)
{
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "batch", answerAfterTheStop);
    platform.start();
    const std::string request = requestTo("/queue/x", "Token-Counts: 900,50\r\n");
    const raw_caller served = platform.openCaller(request);
    platform.runFor(milliseconds(60));
    expectEqual(sends, 1);
    platform.stopFirstInstance();
    platform.runFor(milliseconds(2'000));
    const raw_caller waiting = platform.openCaller(request);
    platform.runFor(milliseconds(2'000));
    expectEqual(waiting.onlyAnswer(), std::string("503 {\"error\":\"instance_ends\"}"));
    expectEqual(sends, 1);
}

Test(stopping_instance, aRequestThatIsNotAnsweredInTimeGetsAnAnswerBeforeTheProcessEnds)
{
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "reading", answerAfterTheStop);
    platform.start();
    const raw_caller caller = platform.openCaller(requestTo("/stream/x", ""));
    platform.runFor(milliseconds(60));
    platform.stopFirstInstance();
    platform.runFor(milliseconds(4'000));
    expectEqual(caller.onlyAnswer(), std::string("502 {\"error\":\"may_have_run\"}"));
}

// The attempt to connect to a server cannot be ended sooner than its time-out.
Test(stopping_instance, aRequestWhoseServerIsNotReachedIsAnsweredBeforeTheProcessEnds)
{
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "desk", answerAtOnce);
    platform.start();
    platform.cutFirstInstanceFromServers();
    const std::string request = requestTo("/once/x", "");
    const size_t lastByte = request.size() - 1;
    constexpr milliseconds firstSend = stopGrace - milliseconds(1'500);
    constexpr milliseconds lastSend = stopGrace - milliseconds(750); // The process ends 600 ms before its kill.
    std::vector<raw_caller> callers;
    for (int caller = 0; caller < 50; ++caller) {
        callers.push_back(platform.openCaller(request.substr(0, lastByte)));
    }
    const auto stoppedAt = std::chrono::steady_clock::now();
    platform.stopFirstInstance();
    platform.runFor(firstSend);
    size_t sent = 0;
    while (sent < callers.size() && std::chrono::steady_clock::now() < stoppedAt + lastSend) {
        callers[sent++].send(request.substr(lastByte));
        platform.runFor(milliseconds(15));
    }
    cr_assert_gt(sent, 0);
    platform.runFor(milliseconds(1'000));
    for (size_t caller = 0; caller < sent; ++caller) {
        const std::string answer = callers[caller].onlyAnswer();
        cr_assert(answer.starts_with("503 "), "%s", answer.c_str());
    }
    expectEqual(sends, 0);
}

// The process runs again when its final answers should all have been written.
Test(stopping_instance, aRequestIsAnsweredBeforeTheEndOfAProcessThatWasBlockedShortlyBefore)
{
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "reading", answerAfterTheStop);
    platform.start();
    const raw_caller caller = platform.openCaller(requestTo("/stream/x", ""));
    platform.runFor(milliseconds(60));
    platform.stopFirstInstance();
    platform.blockAfter(milliseconds(2'400), milliseconds(600));
    platform.runFor(milliseconds(4'000));
    expectEqual(caller.onlyAnswer(), std::string("502 {\"error\":\"may_have_run\"}"));
}

// The attempt to connect ends while the process is blocked, as does the time for its final answers.
Test(stopping_instance, aRequestWhoseServerIsNotReachedIsAnsweredAfterTheProcessWasBlocked)
{
    const std::string answer = answerOfAProcessBlockedAtItsEnd(milliseconds(500));
    cr_assert(answer.starts_with("503 "), "%s", answer.c_str());
}

Test(stopping_instance, aRequestWhoseServerIsNotReachedIsAnsweredAfterTheProcessWasBlockedUntilShortlyBeforeItsKill)
{
    const std::string answer = answerOfAProcessBlockedAtItsEnd(milliseconds(800));
    cr_assert(answer.starts_with("503 "), "%s", answer.c_str());
}

// The time to stop is shorter than the balancer needs to take the instance out.
Test(stopping_instance, aRequestIsAnsweredBeforeTheProcessEndsIfThatHasLittleTimeToStop)
{
    constexpr milliseconds shortGrace{ 3'000 };
    fake_platform platform;
    platform.setStopGrace(shortGrace);
    platform.addServer("i-1", "reading", answerAfterTheStop);
    platform.start();
    const raw_caller caller = platform.openCaller(requestTo("/stream/x", ""));
    platform.runFor(milliseconds(60));
    platform.stopFirstInstance();
    platform.runFor(shortGrace);
    expectEqual(caller.onlyAnswer(), std::string("502 {\"error\":\"may_have_run\"}"));
}

Test(stopping_instance, aStreamThatEndsBeforeTheProcessIsNotCut)
{
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "reading", streamUntilTheStopIsNear);
    platform.start();
    platform.stopFirstInstance();
    const raw_caller caller = platform.openCaller(requestTo("/stream/x", ""));
    platform.runFor(milliseconds(4'000));
    cr_assert(caller.onlyAnswer().ends_with("id: 14\ndata: a\n\n"), "%s", caller.onlyAnswer().c_str());
}

Test(stopping_instance, aPromptThatIsReservingMemoryIsRefusedBeforeTheProcessEndsAndKeepsNone)
{
    engine_memory memory;
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    for (int number = 1; number <= 4; ++number) {
        platform.addServer("i-" + std::to_string(number), "batch", engineThatReservesSlowly(memory));
    }
    platform.start();
    platform.stopFirstInstance();
    platform.runFor(stopGrace - milliseconds(1'100));
    raw_caller caller = platform.openCaller(requestTo("/queue/x", "Token-Counts: 1500,10\r\n"));
    for (int steps = 0; steps < 50 && !caller.onlyAnswer().starts_with("503 "); ++steps) {
        platform.runFor(milliseconds(10));
    }
    expectEqual(caller.onlyAnswer(), std::string("503 {\"error\":\"instance_ends\"}"));
    caller.leave(); // Its connection must not be what keeps the process until the engine has answered.
    platform.runFor(milliseconds(500));
    expectEqual(sends, 0);
    expectEqual(memory.heldCount(), size_t{ 0 });
    cr_assert_gt(grants, 0);
}

// A request that was passed on a moment before the final answers was cut, although it may not be sent again.
Test(stopping_instance, aRequestThatArrivesTooLateToBeServedIsRefusedAsNotRun)
{
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "desk", answerAfter50Ms);
    platform.start();
    const std::string request = requestTo("/once/x", "");
    const size_t lastByte = request.size() - 1;
    constexpr milliseconds finalAnswers = stopGrace - milliseconds(1'000);
    constexpr milliseconds interval{ 10 };
    std::vector<raw_caller> callers;
    for (int caller = 0; caller < 60; ++caller) {
        callers.push_back(platform.openCaller(request.substr(0, lastByte)));
    }
    platform.runFor(milliseconds(50));
    const auto stoppedAt = std::chrono::steady_clock::now();
    platform.stopFirstInstance();
    platform.runFor(finalAnswers - milliseconds(300));
    size_t sent = 0;
    while (sent < callers.size() && std::chrono::steady_clock::now() < stoppedAt + finalAnswers + milliseconds(100)) {
        callers[sent++].send(request.substr(lastByte));
        platform.runFor(interval);
    }
    platform.runFor(milliseconds(1'000));
    int served = 0;
    for (size_t caller = 0; caller < sent; ++caller) {
        const std::string answer = callers[caller].onlyAnswer();
        served += answer.starts_with("200 ") ? 1 : 0;
        cr_assert(answer.starts_with("200 ") || answer == "503 {\"error\":\"instance_ends\"}", "%s", answer.c_str());
    }
    expectEqual(sends, served);
    cr_assert_gt(served, 0);
}

// Requests on connections that callers keep were passed on late in a planned stop and cut without an answer at its end.
Test(stopping_instance, noRequestOnAKeptConnectionIsPassedOnAndCut)
{
    fake_platform platform;
    platform.setStopGrace(stopGrace);
    platform.addServer("i-1", "desk", answerAfter50Ms);
    platform.start();
    const std::string request = requestTo("/once/x", "");
    constexpr milliseconds interval{ 50 };
    std::vector<raw_caller> callers;
    for (milliseconds time{ 0 }; time < stopGrace; time += interval) {
        callers.push_back(platform.openCaller(request));
        platform.runFor(milliseconds(2));
    }
    platform.runFor(milliseconds(500));
    const int before = sends;
    expectEqual(before, static_cast<int>(callers.size()));
    platform.stopFirstInstance();
    for (raw_caller &caller : callers) {
        caller.send(request);
        platform.runFor(interval);
    }
    const std::string ok = "HTTP/1.1 200";
    int answered = 0;
    for (const raw_caller &caller : callers) {
        const std::string received = caller.onlyAnswer();
        const size_t first = received.find(ok); // Not as "200 " where it is the only answer.
        answered += first != std::string::npos && received.find(ok, first + 1) != std::string::npos ? 1 : 0;
    }
    cr_assert_gt(answered, 0);
    expectEqual(sends - before, answered);
}

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <malloc.h>

#include <algorithm>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr size_t endless = 64 * 1024 * 1024; // After it the server falls silent, so that a reader without bound meets its deadline.
constexpr size_t eventLimit = 4 * 1024 * 1024; // Far more than an event that is read to its end, with what the sockets hold.
const std::string signature = "Attempt-Id: a1\r\nResponse-Stamp: stamp\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\n" + signature + "Transfer-Encoding: chunked\r\n\r\n";
const std::string unframedHead = "HTTP/1.1 200 OK\r\n" + signature + "\r\n";
const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + signature + "Content-Length: 5\r\n\r\nwhole";
const std::string firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string lastEvent = "id: 3\ndata: c\n\n";

// Criterion runs each test in its own process, so these counters start at zero in each test.
int sends = 0;
size_t sentBytes = 0;

std::string chunk(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

boost::asio::awaitable<void> sendWithoutEnd(raw_connection &connection, std::string start, std::string piece)
{
    co_await connection.send(std::move(start));
    co_await connection.sendUpTo(endless, std::move(piece));
    sentBytes = connection.sentBytes();
}

boost::asio::awaitable<void> answerWhole(raw_connection &connection)
{
    co_await connection.send(wholeAnswer);
}

/// Answers whole all but the first send, which gets these bytes.
http::testing::raw_server::script firstWithoutEnd(std::string start, std::string piece)
{
    return [start = std::move(start), piece = std::move(piece)](raw_connection &connection) {
        return sends++ == 0 ? sendWithoutEnd(connection, start, piece) : answerWhole(connection);
    };
}

boost::asio::awaitable<void> goOnAfterTwo(raw_connection &connection)
{
    const bool isContinuation = connection.request().find("Last-Event-Id: 2\r\n") != std::string::npos;
    const std::string events = isContinuation ? lastEvent : firstEvents + lastEvent;
    co_await connection.send(chunkedHead + chunk(events) + "0\r\n\r\n");
}

/// Continues the stream at all but the first send, which gets these bytes after two events.
http::testing::raw_server::script firstStreamWithoutEnd(std::string start, std::string piece)
{
    return [start = std::move(start), piece = std::move(piece)](raw_connection &connection) {
        return sends++ == 0 ? sendWithoutEnd(connection, chunkedHead + chunk(firstEvents) + start, piece) : goOnAfterTwo(connection);
    };
}

boost::asio::awaitable<void> pauseAfterTwoEvents(raw_connection &connection)
{
    co_await connection.send(chunkedHead + chunk(firstEvents));
    co_await connection.pause(milliseconds(1'800));
    co_await connection.send(chunk(lastEvent) + "0\r\n\r\n");
}

/// The first server falls silent and goes on; the event of the hedged send never ends.
boost::asio::awaitable<void> silentThenWithoutEnd(raw_connection &connection)
{
    return sends++ == 0 ? pauseAfterTwoEvents(connection)
                        : sendWithoutEnd(connection, chunkedHead + chunk("id: 3\ndata: "), chunk(std::string(16 * 1024, 'x')));
}

void expectServedElsewhere(const std::string &start, const std::string &piece)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", firstWithoutEnd(start, piece));
    platform.addRawServer("i-2", "desk", firstWithoutEnd(start, piece));
    platform.start();
    const caller_answer answer = platform.call("/again/x");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "whole");
    expectEqual(sends, 2);
    cr_assert_lt(sentBytes, endless);
}

/// 504 would mean that nothing but the deadline has ended the request.
void expectFailedBeforeTheDeadline(const std::string &start, const std::string &piece)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", firstWithoutEnd(start, piece));
    platform.start();
    expectEqual(platform.call("/once/x").status, 502);
    expectEqual(sends, 1);
    cr_assert_lt(sentBytes, endless);
}

void expectContinuedElsewhere(const std::string &start, const std::string &piece)
{
    fake_platform platform;
    platform.addRawServer("i-1", "reading", firstStreamWithoutEnd(start, piece));
    platform.addRawServer("i-2", "reading", firstStreamWithoutEnd(start, piece));
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, firstEvents + lastEvent);
    cr_assert(answer.isComplete);
    expectEqual(sends, 2);
    cr_assert_lt(sentBytes, endless);
}

std::string manyInterimHeads()
{
    std::string heads;
    for (int count = 0; count < 500; ++count) {
        heads += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    return heads;
}

constexpr size_t memoryLimitMegabytes = 64; // Of the instance.
constexpr milliseconds longTimeLimit{ 20'000 }; ///< A busy machine takes seconds to fill the memory.
constexpr int callersAtOnce = 48; // Their answers take more than the limit if each is read to its own.
const std::string oneRequest = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 4000\r\nAuthorization: Token "
                               "secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

constexpr milliseconds stepTime{ 5 };
const std::string oneLongRequest
    = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 20000\r\nAuthorization: Token "
      "secret\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

std::string configOfLongTimeLimit()
{
    std::string text = fake_platform::firstConfig();
    const std::string limit = R"("timeout_ms":2000)";
    const size_t at = text.find(limit, text.find(R"("name":"once")"));
    return text.replace(at, limit.size(), R"("timeout_ms":)" + std::to_string(longTimeLimit.count()));
}

/// The first sends get bytes without end; all others are answered whole.
boost::asio::awaitable<void> fillMemoryAtFirst(raw_connection &connection)
{
    return sends++ < callersAtOnce ? sendWithoutEnd(connection, unframedHead, std::string(16 * 1024, 'x')) : answerWhole(connection);
}

/// Memory in use by this process, with the instance in it; 0 where the allocator doesn't tell.
size_t usedMegabytes()
{
    const auto use = mallinfo2();
    return (use.uordblks + use.hblkhd) / (1024 * 1024);
}

const std::string extension = ";" + std::string(16 * 1024, 'x');
const std::string trailer = "X-More: " + std::string(16 * 1024, 'x') + "\r\n";

} // namespace

Test(endless_answers, interimHeads)
{
    expectServedElsewhere("", manyInterimHeads());
}

Test(endless_answers, interimHeadsOfARequestThatRunsOnce)
{
    expectFailedBeforeTheDeadline("", manyInterimHeads());
}

Test(endless_answers, head)
{
    expectServedElsewhere("HTTP/1.1 200 OK\r\n", "X-More: more\r\n");
}

Test(endless_answers, headOfARequestThatRunsOnce)
{
    expectFailedBeforeTheDeadline("HTTP/1.1 200 OK\r\n", "X-More: more\r\n");
}

Test(endless_answers, chunkExtension)
{
    expectServedElsewhere(chunkedHead + chunk("half") + "4", extension);
}

Test(endless_answers, chunkExtensionOfARequestThatRunsOnce)
{
    expectFailedBeforeTheDeadline(chunkedHead + chunk("half") + "4", extension);
}

Test(endless_answers, trailers)
{
    expectServedElsewhere(chunkedHead + chunk("whole") + "0\r\n", trailer);
}

Test(endless_answers, plainBody)
{
    expectServedElsewhere(unframedHead, std::string(16 * 1024, 'x'));
}

Test(endless_answers, plainBodyOfARequestThatRunsOnce)
{
    expectFailedBeforeTheDeadline(unframedHead, std::string(16 * 1024, 'x'));
}

Test(endless_answers, plainBodyWithALength)
{
    expectServedElsewhere("HTTP/1.1 200 OK\r\n" + signature + "Content-Length: 900000000000\r\n\r\n", std::string(16 * 1024, 'x'));
}

Test(endless_answers, plainBodyInChunks)
{
    expectServedElsewhere(chunkedHead, chunk(std::string(16 * 1024, 'x')));
}

Test(endless_answers, chunkExtensionInAStream)
{
    expectContinuedElsewhere("4", extension);
}

Test(endless_answers, trailersOfAStream)
{
    expectContinuedElsewhere("0\r\n", trailer);
}

Test(endless_answers, event)
{
    expectContinuedElsewhere(chunk("id: 3\ndata: "), chunk(std::string(16 * 1024, 'x')));
    cr_assert_lt(sentBytes, eventLimit);
}

Test(endless_answers, aStreamWithAnEventWithoutEndIsCutWhereNoOtherServerCanContinueIt)
{
    fake_platform platform;
    platform.addRawServer("i-1", "reading", firstStreamWithoutEnd(chunk("id: 3\ndata: "), chunk(std::string(16 * 1024, 'x'))));
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, firstEvents);
    cr_assert_not(answer.isComplete);
    cr_assert_lt(sentBytes, eventLimit);
}

Test(endless_answers, anEventOfAHedgedSend)
{
    fake_platform platform;
    platform.addRawServer("i-1", "reading", silentThenWithoutEnd);
    platform.addRawServer("i-2", "reading", silentThenWithoutEnd);
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, firstEvents + lastEvent);
    cr_assert(answer.isComplete);
    cr_assert_lt(sentBytes, eventLimit);
}

// An instance was ended for its memory, with all its requests: each answer had a limit, their sum had none.
Test(endless_answers, ofManyRequestsStayWithinTheMemoryOfTheInstance)
{
    fake_platform platform;
    platform.setMemoryLimit(memoryLimitMegabytes);
    platform.addRawServer("i-1", "desk", fillMemoryAtFirst);
    platform.addRawServer("i-2", "desk", fillMemoryAtFirst);
    platform.publish(configOfLongTimeLimit());
    platform.start();
    std::vector<raw_caller> callers;
    for (int count = 0; count < callersAtOnce; ++count) {
        callers.push_back(platform.openCaller(oneLongRequest));
    }
    size_t mostUsed = 0;
    const auto runAndMeasure = [&](int steps, const std::function<bool()> &isDone) {
        for (int step = 0; step < steps && !isDone(); ++step) {
            platform.runFor(stepTime);
            mostUsed = std::max(mostUsed, usedMegabytes());
        }
    };
    constexpr int mostSteps = longTimeLimit / stepTime;
    runAndMeasure(mostSteps, [] {
        return sends >= callersAtOnce;
    });
    expectEqual(sends, callersAtOnce);
    expectEqual(platform.call("/once/x").body, "whole");
    runAndMeasure(mostSteps, [&callers] {
        return std::ranges::all_of(callers, &raw_caller::isClosed);
    });
    cr_assert_lt(mostUsed, memoryLimitMegabytes, "%zu MB", mostUsed);
    // 504 would mean that nothing but the deadline has ended a request.
    const auto isFailed = [](const raw_caller &caller) {
        return caller.onlyAnswer().starts_with("502");
    };
    expectEqual(std::ranges::count_if(callers, isFailed), callersAtOnce);
}

// Its answers would go on to take the callers' time and the instance's memory.
Test(endless_answers, theServerOfOneLosesItsTurn)
{
    int faultySends = 0;
    fake_platform platform;
    platform.addRawServer("i-1", "desk", [&faultySends](raw_connection &connection) {
        ++faultySends;
        return sendWithoutEnd(connection, unframedHead, std::string(16 * 1024, 'x'));
    });
    platform.addRawServer("i-2", "desk", answerWhole);
    platform.start();
    for (int call = 0; call < 50 && faultySends == 0; ++call) {
        expectEqual(platform.call("/again/x").body, "whole");
    }
    expectEqual(faultySends, 1);
    for (int call = 0; call < 10; ++call) {
        expectEqual(platform.call("/again/x").body, "whole");
    }
    expectEqual(faultySends, 1);
}

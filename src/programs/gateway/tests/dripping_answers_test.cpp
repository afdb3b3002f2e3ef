#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const std::string signature = "Attempt-Id: a1\r\nResponse-Stamp: stamp\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\n" + signature + "Transfer-Encoding: chunked\r\n\r\n";
const std::string unframedHead = "HTTP/1.1 200 OK\r\n" + signature + "\r\n";
const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + signature + "Content-Length: 5\r\n\r\nwhole";
const std::string firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string lastEvent = "id: 3\ndata: c\n\n";

// Criterion runs each test in its own process, so these counters start at zero in each test.
int sends = 0;
int dripping = 0;

/// Sends the piece every few milliseconds until the connection is closed.
boost::asio::awaitable<void> drip(raw_connection &connection, std::string start, std::string piece)
{
    ++dripping;
    bool isOpen = co_await connection.send(std::move(start));
    while (isOpen) {
        co_await connection.pause(milliseconds(10));
        isOpen = co_await connection.send(piece);
    }
    --dripping;
}

boost::asio::awaitable<void> answerWell(raw_connection &connection)
{
    const std::string &request = connection.request();
    const bool isStream = request.find("/stream/") != std::string::npos;
    const bool isContinuation = request.find("Last-Event-Id: 2\r\n") != std::string::npos;
    const std::string events = isContinuation ? lastEvent : firstEvents + lastEvent;
    const std::string answer = isStream ? unframedHead + events : wholeAnswer;
    co_await connection.send(answer);
}

http::testing::raw_server::script firstDrips(std::string start, std::string piece)
{
    return [start = std::move(start), piece = std::move(piece)](raw_connection &connection) {
        return sends++ == 0 ? drip(connection, start, piece) : answerWell(connection);
    };
}

void expectServedElsewhere(const std::string &start, const std::string &piece)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", firstDrips(start, piece));
    platform.addRawServer("i-2", "desk", firstDrips(start, piece));
    platform.start();
    const caller_answer answer = platform.call("/again/x");
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "whole");
    platform.runFor(milliseconds(100));
    expectEqual(dripping, 0);
}

void expectEndedAtTheDeadline(const std::string &start, const std::string &piece)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", firstDrips(start, piece));
    platform.start();
    expectEqual(platform.call("/once/x", "secret", milliseconds(400)).status, 504);
    platform.runFor(milliseconds(100));
    expectEqual(dripping, 0);
}

void expectContinuedElsewhere(const std::string &piece)
{
    fake_platform platform;
    platform.addRawServer("i-1", "reading", firstDrips(unframedHead + firstEvents, piece));
    platform.addRawServer("i-2", "reading", firstDrips(unframedHead + firstEvents, piece));
    platform.start();
    const caller_answer answer = platform.call("/stream/x");
    expectEqual(answer.body, firstEvents + lastEvent);
    cr_assert(answer.isComplete);
    platform.runFor(milliseconds(100));
    expectEqual(dripping, 0);
}

} // namespace

Test(dripping_answers, interimHeads)
{
    expectServedElsewhere("", "HTTP/1.1 100 Continue\r\n\r\n");
}

Test(dripping_answers, head)
{
    expectServedElsewhere("HTTP/1.1 200 OK\r\nX-More: ", "x");
}

Test(dripping_answers, chunkExtension)
{
    expectServedElsewhere(chunkedHead + "4;", "x");
}

Test(dripping_answers, plainBody)
{
    expectServedElsewhere(unframedHead, "x");
}

Test(dripping_answers, event)
{
    expectContinuedElsewhere("x");
}

Test(dripping_answers, headOfARequestThatRunsOnce)
{
    expectEndedAtTheDeadline("HTTP/1.1 200 OK\r\nX-More: ", "x");
}

Test(dripping_answers, plainBodyOfARequestThatRunsOnce)
{
    expectEndedAtTheDeadline(unframedHead, "x");
}

Test(dripping_answers, commentsAfterEventsEndAtTheDeadline)
{
    fake_platform platform;
    platform.addRawServer("i-1", "reading", firstDrips(unframedHead + firstEvents, ": go on\n\n"));
    platform.start();
    const caller_answer answer = platform.call("/stream/x", "secret", milliseconds(400));
    cr_assert(answer.body.starts_with(firstEvents));
    cr_assert_not(answer.isComplete);
    platform.runFor(milliseconds(100));
    expectEqual(dripping, 0);
}

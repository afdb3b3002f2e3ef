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
const std::string unframedHead = "HTTP/1.1 200 OK\r\n" + signature + "\r\n";
const std::string emptyFramedAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + signature + "Content-Length: 0\r\n\r\n";
const std::string firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string lastEvent = "id: 3\ndata: c\n\n";

// Criterion runs each test in its own process, so this counter starts at zero in each test.
int sends = 0;

enum class ending { in_order, reset };

boost::asio::awaitable<void> sendAndEnd(raw_connection &connection, std::string bytes, ending end)
{
    co_await connection.send(std::move(bytes));
    if (end == ending::reset) {
        // The bytes before a reset are lost if it arrives before they were read.
        co_await connection.pause(milliseconds(50));
        connection.reset();
    }
}

boost::asio::awaitable<void> answerAndContinue(raw_connection &connection)
{
    const std::string &request = connection.request();
    const bool isStream = request.find("/stream/") != std::string::npos;
    const bool isContinuation = request.find("Last-Event-Id: 2\r\n") != std::string::npos;
    const std::string body = !isStream ? "whole" : isContinuation ? lastEvent : firstEvents + lastEvent;
    co_await connection.send(unframedHead + body);
}

/// The first send gets these bytes, each other one the whole answer without a length.
http::testing::raw_server::script firstEndsAfter(std::string bytes, ending end)
{
    return [bytes = std::move(bytes), end](raw_connection &connection) {
        return sends++ == 0 ? sendAndEnd(connection, bytes, end) : answerAndContinue(connection);
    };
}

boost::asio::awaitable<void> pauseAfterTwoEvents(raw_connection &connection)
{
    co_await connection.send(unframedHead + firstEvents);
    co_await connection.pause(milliseconds(1'800));
    co_await connection.send(lastEvent);
}

/// The first server falls silent and goes on; the hedged send gets these bytes.
http::testing::raw_server::script secondEndsAfter(std::string bytes)
{
    return [bytes = std::move(bytes)](raw_connection &connection) {
        return sends++ == 0 ? pauseAfterTwoEvents(connection) : sendAndEnd(connection, bytes, ending::in_order);
    };
}

caller_answer answerOf(const std::string &path, const http::testing::raw_server::script &serve, int servers = 2)
{
    const std::string service = path.starts_with("/stream/") ? "reading" : "desk";
    fake_platform platform;
    for (int number = 1; number <= servers; ++number) {
        platform.addRawServer("i-" + std::to_string(number), service, serve);
    }
    platform.start();
    return platform.call(path);
}

} // namespace

Test(unframed_answers, aPlainAnswerIsCompleteWhenItsConnectionIsClosedInOrder)
{
    const caller_answer answer = answerOf("/once/x", firstEndsAfter(unframedHead + "whole", ending::in_order));
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "whole");
    cr_assert(answer.isComplete);
}

Test(unframed_answers, aPlainAnswerWhoseConnectionIsResetIsNotPassedOn)
{
    expectEqual(answerOf("/once/x", firstEndsAfter(unframedHead + "ha", ending::reset)).status, 502);
    expectEqual(sends, 1);
}

Test(unframed_answers, aPlainAnswerWhoseConnectionIsResetIsAskedForAgainWhereThatIsAllowed)
{
    const caller_answer answer = answerOf("/again/x", firstEndsAfter(unframedHead + "ha", ending::reset));
    expectEqual(answer.status, 200);
    expectEqual(answer.body, "whole");
}

Test(unframed_answers, aStreamIsCompleteWhenItsConnectionIsClosedInOrder)
{
    const caller_answer answer = answerOf("/stream/x", firstEndsAfter(unframedHead + firstEvents + lastEvent, ending::in_order));
    expectEqual(answer.body, firstEvents + lastEvent);
    cr_assert(answer.isComplete);
    expectEqual(sends, 1);
}

Test(unframed_answers, aStreamThatEndsInsideAnEventIsContinuedElsewhere)
{
    const caller_answer answer = answerOf("/stream/x", firstEndsAfter(unframedHead + firstEvents + "id: 3\nda", ending::in_order));
    expectEqual(answer.body, firstEvents + lastEvent);
    cr_assert(answer.isComplete);
    expectEqual(sends, 2);
}

Test(unframed_answers, aStreamWhoseConnectionIsResetBetweenTwoEventsIsContinuedElsewhere)
{
    const caller_answer answer = answerOf("/stream/x", firstEndsAfter(unframedHead + firstEvents, ending::reset));
    expectEqual(answer.body, firstEvents + lastEvent);
    cr_assert(answer.isComplete);
    expectEqual(sends, 2);
}

Test(unframed_answers, aStreamThatEndsInsideAnEventIsNotCompleteWhereNoOtherServerCanContinueIt)
{
    const caller_answer answer = answerOf("/stream/x", firstEndsAfter(unframedHead + firstEvents + "id: 3\nda", ending::in_order), 1);
    expectEqual(answer.body, firstEvents);
    cr_assert_not(answer.isComplete);
}

Test(unframed_answers, aStreamThatEndsBeforeItsFirstEventDoesNotLookComplete)
{
    const caller_answer answer = answerOf("/stream/x", firstEndsAfter(unframedHead, ending::in_order), 1);
    cr_assert_not(answer.isComplete && answer.status < 300);
}

Test(unframed_answers, aFramedStreamWithoutEventsIsComplete)
{
    const caller_answer answer = answerOf("/stream/x", firstEndsAfter(emptyFramedAnswer, ending::in_order), 1);
    expectEqual(answer.status, 200);
    cr_assert(answer.isComplete);
}

Test(unframed_answers, aHedgedSendWithoutEventsDoesNotReplaceTheSilentServer)
{
    const caller_answer answer = answerOf("/stream/x", secondEndsAfter(unframedHead));
    expectEqual(answer.body, firstEvents + lastEvent);
    cr_assert(answer.isComplete);
    expectEqual(sends, 2);
}

Test(unframed_answers, aHedgedSendThatEndsInsideItsFirstEventDoesNotReplaceTheSilentServer)
{
    const caller_answer answer = answerOf("/stream/x", secondEndsAfter(unframedHead + "id: 3\nda"));
    expectEqual(answer.body, firstEvents + lastEvent);
    cr_assert(answer.isComplete);
    expectEqual(sends, 2);
}

// What callers get when a server in trouble sends an answer that is none, or only a part of one.

#include "programs/gateway/tests/fake_platform.h"

#include "host/log.h"
#include "testing/expect.h"

#include <array>

#include <fcntl.h>
#include <unistd.h>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using http::testing::raw_server;
using http::testing::request_part;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr size_t uploadBytes = 12 * 1024 * 1024; ///< More than the socket buffers of both sides hold.
constexpr milliseconds arrivalTime{ 50 }; ///< The peer has received by then what was sent before a reset.
const std::string signature = "Attempt-Id: a1\r\nResponse-Stamp: stamp\r\n";
const std::string statusLine = "HTTP/1.1 200 OK\r\n";
const std::string unframedHead = statusLine + signature + "\r\n";
const std::string zeroStatus = "HTTP/1.1 000 Trouble\r\n" + signature + "Content-Length: 5\r\n\r\nhello";
const std::string zeroStatusWithoutBody = "HTTP/1.1 000 Trouble\r\n" + signature + "Content-Length: 0\r\n\r\n";
const std::string firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string lastEvent = "id: 3\ndata: c\n\n";

// Criterion runs each test in its own process, so this counter starts at zero in each test.
int sends = 0;

/// Heads with a field that would frame the body if its name did not hold the byte.
std::vector<std::string> answersWithANameThatHolds(char byte)
{
    const std::string body = "\r\n5\r\nhello\r\n0\r\n\r\n";
    std::vector<std::string> answers;
    for (const std::string &name :
        { byte + std::string("Transfer-Encoding"), std::string("Transfer") + byte + "Encoding", std::string("Transfer-Encoding") + byte }) {
        answers.push_back(statusLine + signature + name + ": chunked\r\n" + body);
    }
    return answers;
}

boost::asio::awaitable<void> sendAndWait(raw_connection &connection, std::string bytes)
{
    co_await connection.send(std::move(bytes));
    co_await connection.waitUntilClosed();
}

boost::asio::awaitable<void> sendAndClose(raw_connection &connection, std::string bytes)
{
    co_await connection.send(std::move(bytes));
}

boost::asio::awaitable<void> sendAndReset(raw_connection &connection, std::string bytes)
{
    co_await connection.send(std::move(bytes));
    co_await connection.pause(arrivalTime);
    connection.reset();
}

boost::asio::awaitable<void> sendAndEnd(raw_connection &connection, std::string bytes)
{
    co_await connection.send(std::move(bytes));
    connection.endSending();
    co_await connection.pause(arrivalTime);
}

boost::asio::awaitable<void> answerSoundly(raw_connection &connection)
{
    const std::string &request = connection.request();
    const bool isStream = request.find("/stream/") != std::string::npos;
    const bool isContinuation = request.find("Last-Event-Id: 2\r\n") != std::string::npos;
    const std::string body = !isStream ? "whole" : isContinuation ? lastEvent : firstEvents + lastEvent;
    const std::string head = statusLine + signature + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    co_await connection.send(head + body);
    co_await connection.waitUntilClosed();
}

using ending = boost::asio::awaitable<void> (*)(raw_connection &, std::string);

/// The first send gets these bytes, each other one a whole answer.
raw_server::script firstGets(std::string bytes, ending end)
{
    return [bytes = std::move(bytes), end](raw_connection &connection) {
        return sends++ == 0 ? end(connection, bytes) : answerSoundly(connection);
    };
}

boost::asio::awaitable<void> pauseAfterTwoEvents(raw_connection &connection)
{
    co_await connection.send(unframedHead + firstEvents);
    co_await connection.pause(milliseconds(1'800));
    co_await connection.send(lastEvent);
    connection.endSending(); // A close with the upload unread would reset the connection.
    co_await connection.waitUntilClosed();
}

/// The first server falls silent and goes on; the hedged send gets these bytes.
raw_server::script secondGets(std::string bytes, ending end)
{
    return [bytes = std::move(bytes), end](raw_connection &connection) {
        return sends++ == 0 ? pauseAfterTwoEvents(connection) : end(connection, bytes);
    };
}

void addServers(fake_platform &platform, const std::string &path, const raw_server::script &serve)
{
    const std::string service = path.starts_with("/stream/") ? "reading" : "desk";
    for (int number = 1; number <= 2; ++number) {
        platform.addRawServer("i-" + std::to_string(number), service, serve, request_part::head);
    }
}

caller_answer answerOf(const std::string &path, const std::string &bytes, ending end)
{
    fake_platform platform;
    sends = 0;
    addServers(platform, path, firstGets(bytes, end));
    platform.start();
    return platform.call(path);
}

caller_answer answerToUpload(const std::string &path, const std::string &bytes, ending end)
{
    fake_platform platform;
    addServers(platform, path, firstGets(bytes, end));
    platform.start();
    return platform.callWithBody(path, std::string(uploadBytes, 'x'));
}

/// By way of another instance, which alone reaches the servers.
caller_answer relayedAnswerToUpload(const std::string &path, const std::string &bytes, ending end)
{
    fake_platform platform;
    addServers(platform, path, firstGets(bytes, end));
    platform.start();
    platform.startSecondInstance();
    platform.cutFirstInstanceFromServers();
    return platform.callWithBody(path, std::string(uploadBytes, 'x'));
}

/// What the instance logs while it serves a call.
std::string logOfCall(fake_platform &platform, const std::string &path)
{
    std::array<int, 2> pipe{};
    cr_assert(::pipe2(pipe.data(), O_NONBLOCK) == 0);
    cr_assert(::dup2(pipe[1], STDOUT_FILENO) >= 0);
    host::openLog(host::log_level::info, "gateway_test");
    platform.call(path);
    std::string text;
    std::array<char, 4096> piece{};
    for (ssize_t count = 0; (count = ::read(pipe[0], piece.data(), piece.size())) > 0;) {
        text.append(piece.data(), static_cast<size_t>(count));
    }
    return text;
}

void expectWhole(const caller_answer &answer, const std::string &body)
{
    expectEqual(answer.status, 200);
    expectEqual(answer.body, body);
    cr_assert(answer.isComplete);
}

} // namespace

Test(broken_answers, aStatusOfZeroIsNotPassedOn)
{
    for (const std::string &bytes : { zeroStatus, zeroStatusWithoutBody }) {
        for (const ending end : { sendAndWait, sendAndClose }) {
            expectEqual(answerOf("/once/x", bytes, end).status, 502);
            expectEqual(sends, 1);
        }
    }
}

Test(broken_answers, aRepeatableRequestThatGotAStatusOfZeroIsSentAgain)
{
    for (const std::string &bytes : { zeroStatus, zeroStatusWithoutBody }) {
        for (const ending end : { sendAndWait, sendAndClose }) {
            expectWhole(answerOf("/again/x", bytes, end), "whole");
            expectWhole(answerOf("/stream/x", bytes, end), firstEvents + lastEvent);
        }
    }
}

// Such a status counts as an error of the server, whose status is passed on as it is.
Test(broken_answers, aStatusAboveTheKnownOnesIsPassedOn)
{
    const std::string answer = "HTTP/1.1 600 Odd\r\n" + signature + "Content-Length: 3\r\n\r\nodd";
    const caller_answer got = answerOf("/once/x", answer, sendAndWait);
    expectEqual(got.status, 600);
    expectEqual(got.body, "odd");
    expectEqual(sends, 1);
    expectWhole(answerOf("/again/x", answer, sendAndWait), "whole");
}

Test(broken_answers, aHeadWithABlankOrAControlByteInANameIsNotPassedOn)
{
    for (const char byte : { ' ', '\t', '\x01', '\x7f' }) {
        for (const std::string &bytes : answersWithANameThatHolds(byte)) {
            expectEqual(answerOf("/once/x", bytes, sendAndClose).status, 502);
            expectEqual(sends, 1);
        }
    }
}

Test(broken_answers, aRepeatableRequestThatGotABlankOrAControlByteInANameIsSentAgain)
{
    for (const char byte : { ' ', '\t', '\x01', '\x7f' }) {
        for (const std::string &bytes : answersWithANameThatHolds(byte)) {
            expectWhole(answerOf("/again/x", bytes, sendAndClose), "whole");
        }
    }
}

Test(broken_answers, aPartOfAnEarlyAnswerIsNotPassedOnWhenTheConnectionIsReset)
{
    expectEqual(answerToUpload("/once/x", unframedHead + "ha", sendAndReset).status, 502);
    expectEqual(sends, 1);
}

Test(broken_answers, aRepeatableUploadWhoseEarlyAnswerWasResetIsSentAgain)
{
    const caller_answer answer = answerToUpload("/again/x", unframedHead + "ha", sendAndReset);
    expectWhole(answer, "whole");
    expectEqual(sends, 2);
}

Test(broken_answers, aStreamThatBeganEarlyAndWasResetIsContinuedElsewhere)
{
    const caller_answer answer = answerToUpload("/stream/x", unframedHead + firstEvents, sendAndReset);
    expectWhole(answer, firstEvents + lastEvent);
    expectEqual(sends, 2);
}

Test(broken_answers, oneToAHedgedSendDoesNotReplaceTheSilentServer)
{
    const std::string folded = statusLine + signature + " Transfer-Encoding: chunked\r\n\r\n" + lastEvent;
    const std::string behindZeroStatus = "HTTP/1.1 000 Trouble\r\n\r\n" + unframedHead + lastEvent;
    for (const std::string &bytes : { folded, behindZeroStatus, unframedHead + "id: 3\nda" }) {
        fake_platform platform;
        sends = 0;
        addServers(platform, "/stream/x", secondGets(bytes, sendAndReset));
        platform.start();
        expectWhole(platform.callWithBody("/stream/x", std::string(uploadBytes, 'x')), firstEvents + lastEvent);
        expectEqual(sends, 2);
    }
}

Test(broken_answers, aPartOfAnEarlyAnswerIsNotRelayedAsAWholeOne)
{
    expectEqual(relayedAnswerToUpload("/once/x", unframedHead + "ha", sendAndReset).status, 502);
    expectEqual(sends, 1);
}

Test(broken_answers, aRelayedStreamThatBeganEarlyAndWasResetIsContinuedElsewhere)
{
    const caller_answer answer = relayedAnswerToUpload("/stream/x", unframedHead + firstEvents, sendAndReset);
    expectWhole(answer, firstEvents + lastEvent);
    expectEqual(sends, 2);
}

Test(broken_answers, aWholeEarlyAnswerIsPassedOn)
{
    const std::string withLength = statusLine + signature + "Content-Length: 5\r\n\r\nearly";
    const std::string inChunks = statusLine + signature + "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n";
    expectWhole(answerToUpload("/once/x", withLength, sendAndReset), "early");
    sends = 0;
    expectWhole(answerToUpload("/once/x", inChunks, sendAndReset), "early");
    sends = 0;
    expectWhole(answerToUpload("/once/x", unframedHead + "early", sendAndEnd), "early");
}

Test(broken_answers, aWholeEarlyAnswerIsRelayed)
{
    expectWhole(relayedAnswerToUpload("/once/x", unframedHead + "early", sendAndEnd), "early");
}

Test(broken_answers, theLogNamesWhatWasWrongWithABody)
{
    const std::string head = statusLine + signature;
    const std::string shortBody = head + "Content-Length: 5\r\n\r\nha";
    const std::string brokenChunk = head + "Transfer-Encoding: chunked\r\n\r\nno size\r\n";
    for (const auto &[bytes, fault] : { std::pair(shortBody, "partial message"), std::pair(brokenChunk, "bad chunk") }) {
        fake_platform platform;
        sends = 0;
        addServers(platform, "/once/x", firstGets(bytes, sendAndClose));
        platform.start();
        const std::string log = logOfCall(platform, "/once/x");
        const size_t line = log.find("event=send_failed request=a1 ");
        cr_assert_neq(line, std::string::npos);
        const std::string failed = log.substr(line, log.find('\n', line) - line);
        cr_assert_neq(failed.find(fault), std::string::npos, "no \"%s\" in: %s", fault, failed.c_str());
    }
}

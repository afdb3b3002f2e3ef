#include "programs/gateway/operator_policy.h"
#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <array>
#include <cstdio>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const std::string signature = "Attempt-Id: a1\r\nResponse-Stamp: stamp\r\n";
const std::string ok = "200 OK\r\n" + signature;
const std::string firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string lastEvent = "id: 3\ndata: c\n\n";

constexpr int usualCalls = 25; ///< More than the least number of latencies that a second copy needs.

enum class framing { length, chunked, connection };
enum class breaking { closed, reset, within_an_event, silent };

/// An answer of the next server, and what it makes of the caller's stream.
struct next_answer {
    std::string name;
    std::string head; ///< Status and fields.
    std::string body;
    std::string seen; ///< "whole" or "broken", then what follows the first events.
    bool isPlayedRelayed = false; ///< Also through another instance.
};

const std::string refused = "broken ";

const std::vector<next_answer> nextAnswers{
    { "400", "400 Bad Request\r\n" + signature, "error", refused },
    { "429 not run", "429 Too Many Requests\r\nAttempt-Id: a1\r\nNot-Run: 1\r\n", "error", refused },
    { "500", "500 Internal Server Error\r\n" + signature, "error", refused, true },
    { "503", "503 Service Unavailable\r\n" + signature, "id: 3\ndata: error\n\n", refused },
    { "503 not run", "503 Service Unavailable\r\nAttempt-Id: a1\r\nNot-Run: 1\r\n", "error", refused },
    { "unsigned", "200 OK\r\nAttempt-Id: a1\r\n", lastEvent, refused, true },
    { "encoded", ok + "Content-Encoding: gzip\r\n", lastEvent, refused },
    { "of another request", "200 OK\r\nAttempt-Id: a2\r\nResponse-Stamp: stamp\r\n", lastEvent, refused },
    { "plain body", ok, "plain text", refused },
    { "plain body with an empty line", ok, "plain text\n\nmore\n\n", refused },
    { "events without ids", ok, "data: c\n\n", refused, true },
    { "from the first event on", ok, firstEvents + lastEvent, refused, true },
    { "the last event again", ok, "id: 2\ndata: b\n\n" + lastEvent, refused },
    { "one event left out", ok, "id: 4\ndata: d\n\n", refused },
    { "broken off too", ok, lastEvent + "id: 4\nda", refused + lastEvent, true },
    { "whole", ok, lastEvent, "whole " + lastEvent, true },
    { "whole behind a comment", ok, ": still here\n\n" + lastEvent, "whole : still here\n\n" + lastEvent },
};

// Criterion runs each test in its own process, so these values start anew in each test.
int sends = 0;
bool isNextLeft = false;

std::string chunk(const std::string &bytes)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

std::string answerOf(const std::string &head, const std::string &body, framing by)
{
    const std::string start = "HTTP/1.1 " + head + "Connection: close\r\n";
    switch (by) {
    case framing::length:
        return start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    case framing::chunked:
        return start + "Transfer-Encoding: chunked\r\n\r\n" + (body.empty() ? "" : chunk(body)) + "0\r\n\r\n";
    case framing::connection:
        break;
    }
    return start + "\r\n" + body;
}

boost::asio::awaitable<void> beginAndBreakOff(raw_connection &connection, breaking by)
{
    const std::string partial = by == breaking::within_an_event ? "id: 3\nda" : "";
    co_await connection.send("HTTP/1.1 " + ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk(firstEvents + partial));
    if (by == breaking::silent) {
        co_await connection.waitUntilClosed();
    }
    // The bytes before a reset are lost if it arrives before they were read.
    co_await connection.pause(milliseconds(30));
    if (by == breaking::reset) {
        connection.reset();
    }
}

boost::asio::awaitable<void> sendAndClose(raw_connection &connection, std::string bytes)
{
    co_await connection.send(std::move(bytes));
}

/// The first send breaks off, each other one gets these bytes.
http::testing::raw_server::script breakOffThenSend(breaking by, std::string bytes)
{
    return [by, bytes = std::move(bytes)](raw_connection &connection) {
        return sends++ == 0 ? beginAndBreakOff(connection, by) : sendAndClose(connection, bytes);
    };
}

// An instance that begins to hear of another one may be without a confirmed configuration for a moment.
void runUntilReady(fake_platform &platform)
{
    for (int steps = 0; steps < 200 && platform.readiness() != 200; ++steps) {
        platform.runFor(milliseconds(10));
    }
}

raw_caller openCaller(fake_platform &platform, milliseconds timeLeft, const std::string &fields = "")
{
    return platform.openCaller(
        "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\nDeadline-Ms: " + std::to_string(timeLeft.count()) + "\r\n" + fields
        + "Authorization: Token secret\r\nConnection: close\r\nContent-Length: 8\r\n\r\nquestion");
}

/// Caller whose connection has been closed.
raw_caller callerOf(fake_platform &platform, milliseconds timeLeft, const std::string &fields = "")
{
    raw_caller caller = openCaller(platform, timeLeft, fields);
    for (int steps = 0; steps < 500 && !caller.isClosed(); ++steps) {
        platform.runFor(milliseconds(10));
    }
    return caller;
}

std::string streamSeen(breaking by, const std::string &bytes, bool isRelayed = false)
{
    sends = 0;
    fake_platform platform;
    for (const char *id : { "i-1", "i-2" }) {
        platform.addRawServer(id, "reading", breakOffThenSend(by, bytes));
    }
    platform.start();
    if (isRelayed) {
        platform.startSecondInstance();
        runUntilReady(platform);
        platform.cutFirstInstanceFromServers();
    }
    return callerOf(platform, milliseconds(by == breaking::silent ? 1'200 : 3'000)).stream();
}

void expectRightStreams(breaking by, framing next, bool isRelayed = false)
{
    std::string wrong;
    for (const next_answer &answer : nextAnswers) {
        if (isRelayed && !answer.isPlayedRelayed) {
            continue;
        }
        const size_t kind = answer.seen.find(' ') + 1;
        const std::string expected = answer.seen.substr(0, kind) + firstEvents + answer.seen.substr(kind);
        const std::string seen = streamSeen(by, answerOf(answer.head, answer.body, next), isRelayed);
        wrong += seen == expected ? "" : answer.name + ": " + seen + "\n";
    }
    expectEqual(wrong, "");
}

boost::asio::awaitable<void> sendWithoutIdsFirst(raw_connection &connection)
{
    const std::string head = "HTTP/1.1 " + ok + "Transfer-Encoding: chunked\r\n\r\n";
    return sends++ == 0 ? sendAndClose(connection, head + chunk("data: m\n\n"))
                        : sendAndClose(connection, head + chunk("id: 13\ndata: m\n\n") + "0\r\n\r\n");
}

/// The first call after the usual ones is slow at one server, and its second copy breaks off.
boost::asio::awaitable<void> breakOffTheSecondCopy(raw_connection &connection)
{
    const int send = ++sends;
    if (send == usualCalls + 2) {
        co_await beginAndBreakOff(connection, breaking::closed);
        co_return;
    }
    const bool isSlow = send > usualCalls;
    const milliseconds time(isSlow ? 300 : send % 5 == 0 ? 60 : 20);
    co_await connection.pause(time);
    std::string bytes = answerOf(ok, firstEvents + lastEvent, framing::chunked);
    if (isSlow) {
        bytes = answerOf("500 Internal Server Error\r\n" + signature, "error", framing::length);
    }
    co_await connection.send(std::move(bytes));
}

/// Notes whether the next server is left while it has not answered.
boost::asio::awaitable<void> breakOffThenWait(raw_connection &connection)
{
    if (sends++ == 0) {
        co_await beginAndBreakOff(connection, breaking::closed);
        co_return;
    }
    co_await connection.waitUntilClosed();
    isNextLeft = true;
}

boost::asio::awaitable<void> answerWithoutContent(raw_connection &connection)
{
    return sendAndClose(connection, "HTTP/1.1 204 No Content\r\n" + signature + "\r\n");
}

} // namespace

Test(broken_stream, isNotMixedWithTheNextAnswerAfterItsConnectionWasClosed)
{
    expectRightStreams(breaking::closed, framing::length);
    expectRightStreams(breaking::closed, framing::chunked);
    expectRightStreams(breaking::closed, framing::connection);
}

Test(broken_stream, isNotMixedWithTheNextAnswerAfterItsConnectionWasReset)
{
    expectRightStreams(breaking::reset, framing::length);
    expectRightStreams(breaking::reset, framing::chunked);
    expectRightStreams(breaking::reset, framing::connection);
}

Test(broken_stream, isNotMixedWithTheNextAnswerAfterItEndedWithinAnEvent)
{
    expectRightStreams(breaking::within_an_event, framing::length);
    expectRightStreams(breaking::within_an_event, framing::chunked);
    expectRightStreams(breaking::within_an_event, framing::connection);
}

Test(broken_stream, ofASilentServerIsNotMixedWithTheAnswerOfAHedgedSend)
{
    expectRightStreams(breaking::silent, framing::chunked);
}

Test(broken_stream, ofASilentServerIsNotMixedWithAnAnswerOfAHedgedSendThatEndsWithItsConnection)
{
    expectRightStreams(breaking::silent, framing::connection);
}

Test(broken_stream, isNotMixedWithTheNextAnswerThroughAnotherInstance)
{
    expectRightStreams(breaking::closed, framing::chunked, true);
}

Test(broken_stream, isNotMixedWithTheNextAnswerThatEndsWithItsConnectionThroughAnotherInstance)
{
    expectRightStreams(breaking::within_an_event, framing::connection, true);
}

Test(broken_stream, isNotCompleteAfterAHeadWithoutBody)
{
    const std::string head = "HTTP/1.1 " + ok + "Connection: close\r\n";
    for (const char *body : { "Content-Length: 15\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "\r\n" }) {
        expectEqual(streamSeen(breaking::closed, head + body), "broken " + firstEvents);
        expectEqual(streamSeen(breaking::silent, head + body), "broken " + firstEvents);
    }
}

// The server says that nothing is left: the one before may have broken off behind its last event.
Test(broken_stream, isCompleteAfterACompleteAnswerWithoutEvents)
{
    expectEqual(streamSeen(breaking::closed, answerOf(ok, "", framing::length)), "whole " + firstEvents);
    expectEqual(streamSeen(breaking::closed, answerOf(ok, "", framing::chunked)), "whole " + firstEvents);
}

// Guards against events that come twice: the next server would begin after the event that the caller named, again.
Test(broken_stream, isNotContinuedWhereTheCallerResumedItAndGotEventsWithoutIds)
{
    fake_platform platform;
    for (const char *id : { "i-1", "i-2" }) {
        platform.addRawServer(id, "reading", sendWithoutIdsFirst);
    }
    platform.start();
    expectEqual(callerOf(platform, milliseconds(3'000), "Last-Event-Id: 12\r\n").stream(), "broken data: m\n\n");
    expectEqual(sends, 1);
}

// Guards against a last chunk behind an answer that has no body.
Test(broken_stream, ofAnAnswerWithoutContentIsOneAnswer)
{
    fake_platform platform;
    platform.addRawServer("i-1", "reading", answerWithoutContent);
    platform.start();
    expectEqual(callerOf(platform, milliseconds(3'000)).onlyAnswer(), "204 ");
}

Test(broken_stream, ofASecondCopyIsNotMixedWithTheAnswerOfTheSlowServer)
{
    fake_platform platform;
    for (const char *id : { "i-1", "i-2" }) {
        platform.addRawServer(id, "reading", breakOffTheSecondCopy);
    }
    platform.start();
    platform.applyPolicy({ 0.2 });
    for (int call = 0; call < usualCalls; ++call) {
        expectEqual(platform.call("/stream/x").body, firstEvents + lastEvent);
    }
    expectEqual(callerOf(platform, milliseconds(3'000)).stream(), "broken " + firstEvents);
    expectEqual(sends, usualCalls + 2);
}

Test(broken_stream, isGivenUpWhenItsCallerLeavesWhileTheNextServerIsAsked)
{
    fake_platform platform;
    for (const char *id : { "i-1", "i-2" }) {
        platform.addRawServer(id, "reading", breakOffThenWait);
    }
    platform.start();
    raw_caller caller = openCaller(platform, milliseconds(3'000));
    for (int steps = 0; steps < 100 && sends < 2; ++steps) {
        platform.runFor(milliseconds(10));
    }
    caller.leave();
    platform.runFor(milliseconds(200));
    expectEqual(sends, 2);
    cr_assert(isNextLeft);
}

// A server ended within the head of its answer, and the caller got a success with an empty or short body.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <array>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const std::string signature = "Attempt-Id: a1\r\nResponse-Stamp: stamp\r\n";
const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// In the status line, behind it, within a name, within the length, before and behind the signature, before the empty line, within it.
const std::array<std::string, 9> cutHeads{ "HTTP/1.1 200",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Le",
    "HTTP/1.1 200 OK\r\n" + signature + "Content-Length: 8",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nAttempt-Id: a1\r\n",
    "HTTP/1.1 200 OK\r\n" + signature,
    "HTTP/1.1 200 OK\r\n" + signature + "Content-Length: 0\r\n",
    "HTTP/1.1 200 OK\r\n" + signature + "Transfer-Encoding: chunked\r\n",
    "HTTP/1.1 200 OK\r\n" + signature + "Content-Length: 0\r\n\r" };

enum class ending { in_order, reset };
enum class way { direct, relayed };

// Criterion runs each test in its own process, so this counter starts at zero in each test.
int sends = 0;

boost::asio::awaitable<void> answerWhole(raw_connection &connection)
{
    const bool isStream = connection.request().find("/stream/") != std::string::npos;
    const std::string body = isStream ? events : "whole";
    co_await connection.send(
        "HTTP/1.1 200 OK\r\nConnection: close\r\n" + signature + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

boost::asio::awaitable<void> sendAndEnd(raw_connection &connection, std::string bytes, ending end)
{
    co_await connection.send(std::move(bytes));
    if (end == ending::reset) {
        co_await connection.pause(milliseconds(5));
        connection.reset();
    }
}

/// The first `count` sends get the part of a head, the others the whole answer.
http::testing::raw_server::script firstEndWithin(const std::string &head, ending end, int count)
{
    return [head, end, count](raw_connection &connection) {
        return sends++ < count ? sendAndEnd(connection, head, end) : answerWhole(connection);
    };
}

caller_answer answerOf(const std::string &path, way taken, const http::testing::raw_server::script &serve)
{
    sends = 0;
    fake_platform platform;
    for (int number = 1; number <= 3; ++number) {
        platform.addRawServer("i-" + std::to_string(number), path.starts_with("/stream/") ? "reading" : "desk", serve);
    }
    platform.start();
    if (taken == way::relayed) {
        platform.startSecondInstance();
        platform.cutFirstInstanceFromServers();
    }
    return platform.call(path);
}

void expectForEachCut(
    const std::string &path, way taken, int cuts, const std::function<void(const caller_answer &, const std::string &)> &check)
{
    for (const std::string &head : cutHeads) {
        for (const ending end : { ending::in_order, ending::reset }) {
            check(answerOf(path, taken, firstEndWithin(head, end, cuts)), head);
        }
    }
}

void expectWhole(const caller_answer &answer, const std::string &body, const std::string &head)
{
    cr_assert(answer.status == 200 && answer.isComplete && answer.body == body,
        "status %d, body \"%s\" after \"%s\"",
        answer.status,
        answer.body.c_str(),
        head.c_str());
}

void expectFailure(const caller_answer &answer, const std::string &head)
{
    cr_assert(answer.status == 502, "status %d, body \"%s\" after \"%s\"", answer.status, answer.body.c_str(), head.c_str());
    cr_assert_eq(sends, 1);
}

} // namespace

Test(cut_head, ofARequestThatMayNotRunTwiceIsAFailure)
{
    expectForEachCut("/once/x", way::direct, 1, expectFailure);
}

Test(cut_head, ofARequestThatMayNotRunTwiceIsAFailureThroughAnotherInstance)
{
    expectForEachCut("/once/x", way::relayed, 1, expectFailure);
}

Test(cut_head, isFollowedByTheAnswerOfAnotherServer)
{
    expectForEachCut("/again/x", way::direct, 1, [](const caller_answer &answer, const std::string &head) {
        expectWhole(answer, "whole", head);
    });
}

Test(cut_head, ofAStreamIsFollowedByTheStreamOfAnotherServer)
{
    expectForEachCut("/stream/x", way::direct, 1, [](const caller_answer &answer, const std::string &head) {
        expectWhole(answer, events, head);
    });
}

Test(cut_head, ofAStreamIsFollowedByTheStreamOfAnotherServerThroughAnotherInstance)
{
    expectForEachCut("/stream/x", way::relayed, 1, [](const caller_answer &answer, const std::string &head) {
        expectWhole(answer, events, head);
    });
}

Test(cut_head, ofAllServersIsNoCompleteStream)
{
    expectForEachCut("/stream/x", way::direct, 100, [](const caller_answer &answer, const std::string &head) {
        cr_assert(answer.status >= 500 || !answer.isComplete, "status %d after \"%s\"", answer.status, head.c_str());
    });
}

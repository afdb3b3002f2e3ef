// An instance ended by itself when the end of a second send was the crash for which its prompt was held back.

#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <set>
#include <vector>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

constexpr int serverCount = 12;
constexpr int callers = 5;

// Criterion runs each test in its own process, so these values start anew in each test.
std::set<std::string> attemptsSeen;
int lostSecondSends = 0;

std::string attemptOf(const std::string &request)
{
    const std::string field = "Attempt-Id: ";
    const size_t begin = request.find(field) + field.size();
    return request.substr(begin, request.find('\r', begin) - begin);
}

/// Is silent to the first send of an attempt; a second one ends it within an event.
boost::asio::awaitable<void> endAtTheSecondSend(raw_connection &connection)
{
    const std::string attempt = attemptOf(connection.request());
    if (attemptsSeen.insert(attempt).second) {
        co_await connection.waitUntilClosed();
        co_return;
    }
    ++lostSecondSends;
    co_await connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: stamp\r\n\r\nid: 1\nda");
}

std::string requestOf(int caller)
{
    const std::string number = std::to_string(caller);
    return "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nAttempt-Id: attempt" + number
        + "\r\nDeadline-Ms: 4000\r\nAuthorization: Token secret\r\nPrompt-Prefix: dead:40,own" + number
        + ":100\r\nContent-Length: 8\r\n\r\nquestion";
}

} // namespace

Test(hedge_crash, thatConvictsThePromptDoesNotEndTheInstance)
{
    fake_platform platform;
    for (int number = 1; number <= serverCount; ++number) {
        platform.addRawServer("i-" + std::to_string(number), "reading", endAtTheSecondSend);
    }
    platform.start();
    std::vector<raw_caller> all;
    for (int caller = 0; caller < callers; ++caller) {
        all.push_back(platform.openCaller(requestOf(caller)));
        platform.runFor(milliseconds(300));
    }
    platform.runFor(milliseconds(4'000));
    cr_assert_geq(lostSecondSends, 3);
    for (const raw_caller &caller : all) {
        const std::string answer = caller.onlyAnswer();
        cr_assert(answer.starts_with("50"), "%s", answer.c_str());
    }
    expectEqual(platform.readiness(), 200);
}
